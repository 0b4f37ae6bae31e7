"""A router whose steady clock stands still while its VM is suspended.

Told by a signal that a stop is a suspension, the process takes the time of that stop out of what
its steady clock tells; the one that counts suspensions and the time of day go on. Timers of the
event loop are the kernel's and fire at once, as after a pause.
"""

from __future__ import annotations

import signal
import sys
import time

from loomyard_router.platform.__main__ import main
from loomyard_standins.programs.words import SUSPENDING


class SteadyClock:
    """The steady clock of the machine less its suspensions."""

    def __init__(self) -> None:
        self._read = time.clock_gettime
        self._lost = 0.0
        self._suspended_at: float | None = None

    def install(self) -> None:
        """Let the process read this clock, and hear of suspensions."""
        time.monotonic = self.now
        time.clock_gettime = self.read
        signal.signal(SUSPENDING, lambda *_: self._begin())
        signal.signal(signal.SIGCONT, lambda *_: self._end())

    def now(self) -> float:
        """Return steady seconds."""
        return self.read(time.CLOCK_MONOTONIC)

    def read(self, which: int) -> float:
        """Return what a clock of the kernel tells."""
        return self._read(which) - (self._lost if which == time.CLOCK_MONOTONIC else 0.0)

    def _begin(self) -> None:
        self._suspended_at = self._read(time.CLOCK_MONOTONIC)

    def _end(self) -> None:
        if self._suspended_at is not None:
            self._lost += self._read(time.CLOCK_MONOTONIC) - self._suspended_at
            self._suspended_at = None


if __name__ == "__main__":
    SteadyClock().install()
    sys.exit(main())
