"""An engine of fixed speed in virtual time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from attrs import define, field


@define(eq=False)
class VirtualEngine:
    """Its slots, what runs and what waits for a slot."""

    slots: int
    running: int = 0
    queue: deque[Callable[[], None]] = field(factory=deque)
