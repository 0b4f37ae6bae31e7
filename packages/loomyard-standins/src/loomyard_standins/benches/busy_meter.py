"""Number of busy slots of a target over time."""

from __future__ import annotations

import time


class BusyMeter:
    """Changes of the number of busy slots, at times of the system-wide monotonic clock."""

    def __init__(self) -> None:
        self.busy = 0
        self.changes: list[tuple[float, int]] = [(time.monotonic(), 0)]

    def add(self, count: int) -> None:
        """Record that ``count`` slots became busy, or free if it is negative."""
        self.busy += count
        self.changes.append((time.monotonic(), self.busy))
