"""By what the holder of a place is known."""

from __future__ import annotations

# Router, incarnation of it, number that it never used before.
Ticket = tuple[str, int, int]
