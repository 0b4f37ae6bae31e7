"""Identifier of a slot permit, unique in the fleet."""

from __future__ import annotations

# Name of the router that holds the permit, its incarnation, and a number it uses only once.
PermitId = tuple[str, int, int]
