"""What kind of requests a route takes."""

from __future__ import annotations

from enum import Enum


class RouteKind(Enum):
    """Whether a request may be repeated, and whether its answer is an event stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
