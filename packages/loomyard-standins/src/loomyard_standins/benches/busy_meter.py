"""How many slots of a target are busy, over time."""

from __future__ import annotations

import time


class BusyMeter:
    """Changes of the number of busy slots, with monotonic times that all processes share."""

    def __init__(self) -> None:
        self.busy = 0
        self.changes: list[tuple[float, int]] = [(time.monotonic(), 0)]

    def add(self, count: int) -> None:
        """Take in that some slots became busy, or free where negative."""
        self.busy += count
        self.changes.append((time.monotonic(), self.busy))
