"""Engine of fixed speed in virtual time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from attrs import define, field


@define(eq=False)
class VirtualEngine:
    """Slots of an engine, the number of running requests and a queue of those to start."""

    slots: int
    running: int = 0
    queue: deque[Callable[[], None]] = field(factory=deque)
