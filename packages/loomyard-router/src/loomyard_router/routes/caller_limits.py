"""What callers may send and how long they may take."""

from __future__ import annotations

from attrs import frozen

DEFAULT_BODY_BYTES = 4 << 20
DEFAULT_HEAD_BYTES = 16 << 10
DEFAULT_HEAD_SECONDS = 5.0
DEFAULT_IDLE_SECONDS = 30.0


@frozen(kw_only=True)
class CallerLimits:
    """Bounds on heads and bodies in bytes, on the time for a head and on idle connections."""

    head_bytes: int = DEFAULT_HEAD_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    head_seconds: float = DEFAULT_HEAD_SECONDS
    idle_seconds: float = DEFAULT_IDLE_SECONDS
    tokens_per_second: float = 0.0
