"""How long each part of a start took."""

from __future__ import annotations

import time

# CLOCK_BOOTTIME, as in ``loomyard.clock``, which is too slow to import before the first mark.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class StartTimes:
    """Seconds of the parts of a start, counted from the first line of the entry point."""

    def __init__(self) -> None:
        self._began_at = self._marked_at = _now()
        self._parts: dict[str, float] = {}

    @property
    def seconds(self) -> float:
        """Seconds since the first line, to the millisecond."""
        return round(_now() - self._began_at, 3)

    @property
    def parts(self) -> dict[str, float]:
        """Seconds by part, to the millisecond."""
        return {part: round(seconds, 3) for part, seconds in self._parts.items()}

    def mark(self, part: str) -> None:
        """Record that a part ended, which began with the end of the one before."""
        now = _now()
        self._parts[part] = now - self._marked_at
        self._marked_at = now


def _now() -> float:
    return time.clock_gettime(_BOOT_CLOCK)
