"""Kinds of routes."""

from __future__ import annotations

from enum import Enum


class RouteKind(Enum):
    """Whether requests of a route may be retried, and whether answers are event streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
