"""The figures of a run of share policies."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class Figures:
    """What a run came to; ``gap`` in tokens over weight, the rest per second and router."""

    policy: str
    gap: float
    utilisation: float
    messages: float
    bytes: float
    busiest_messages: float
    busiest_bytes: float
    excess: int
