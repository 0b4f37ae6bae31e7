"""Limits on the connections and requests of callers."""

from __future__ import annotations

from attrs import frozen

# Used where the configuration sets no limit.
DEFAULT_BODY_BYTES = 4 << 20
DEFAULT_HEAD_BYTES = 16 << 10
DEFAULT_HEAD_SECONDS = 5.0
DEFAULT_IDLE_SECONDS = 30.0


@frozen(kw_only=True)
class CallerLimits:
    """Limits on the size of heads and bodies, the time to send a head and idle connections.

    ``tokens_per_second`` is the throughput that client accounts share, 0 where none is stated.
    """

    head_bytes: int = DEFAULT_HEAD_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    head_seconds: float = DEFAULT_HEAD_SECONDS
    idle_seconds: float = DEFAULT_IDLE_SECONDS
    tokens_per_second: float = 0.0
