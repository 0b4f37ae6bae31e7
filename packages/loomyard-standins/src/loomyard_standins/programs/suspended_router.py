"""A router whose monotonic clock stops while its VM is suspended.

A signal before SIGSTOP marks the stop as a suspension; the process then subtracts its length from
CLOCK_MONOTONIC. CLOCK_BOOTTIME and the time of day go on. Timers of the event loop are timers of
the kernel and fire at once afterwards, as after a process pause.
"""

from __future__ import annotations

import signal
import sys
import time

from loomyard_router.platform.__main__ import main
from loomyard_standins.programs.soak_protocol import SUSPEND_SIGNAL


class SuspendableClock:
    """CLOCK_MONOTONIC less the suspensions of the VM."""

    def __init__(self) -> None:
        self._read = time.clock_gettime
        self._suspended_seconds = 0.0
        self._suspended_at: float | None = None

    def install(self) -> None:
        """Replace the clock functions of ``time`` and handle the signals of a suspension."""
        time.monotonic = self.now
        time.clock_gettime = self.read
        signal.signal(SUSPEND_SIGNAL, lambda *_: self._begin())
        signal.signal(signal.SIGCONT, lambda *_: self._end())

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.read(time.CLOCK_MONOTONIC)

    def read(self, which: int) -> float:
        """Return the seconds of a clock of the kernel, for CLOCK_MONOTONIC without suspensions."""
        return self._read(which) - (
            self._suspended_seconds if which == time.CLOCK_MONOTONIC else 0.0
        )

    def _begin(self) -> None:
        self._suspended_at = self._read(time.CLOCK_MONOTONIC)

    def _end(self) -> None:
        if self._suspended_at is not None:
            self._suspended_seconds += self._read(time.CLOCK_MONOTONIC) - self._suspended_at
            self._suspended_at = None


if __name__ == "__main__":
    SuspendableClock().install()
    sys.exit(main())
