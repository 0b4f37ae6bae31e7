"""The signals of a process from the first line of its entry point on."""

from __future__ import annotations

# ``signal`` imports ``enum``, which takes longer than the rest of the way to the handlers.
import _signal
import os

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import NoReturn

STOPS = (_signal.SIGTERM, _signal.SIGINT)
RELOADS = _signal.SIGHUP
STDERR = 2


class EarlySignals:
    """Handle signals until the event loop does, and those that arrive while it takes over.

    A stop ends the process with status 0 until ``on_stop`` names a function; there is nothing yet
    to hand over. Reloads are remembered until ``on_reload`` names one.
    """

    def __init__(self) -> None:
        self.reloads = 0
        self._stop: Callable[[], object] | None = None
        self._reload: Callable[[], object] | None = None

    def install(self) -> None:
        """Install the handlers."""
        _signal.signal(RELOADS, self._receive_reload)
        for number in STOPS:
            _signal.signal(number, self._receive_stop)

    def on_stop(self, function: Callable[[], object]) -> None:
        """Call a function, which must not block, for stops from now on."""
        self._stop = function

    def begin_reading(self) -> None:
        """Forget earlier reloads, which the reading of the settings that begins now satisfies."""
        self.reloads = 0

    def on_reload(self, function: Callable[[], object]) -> None:
        """Call a function, which must not block, for reloads since the reading and from now on."""
        self._reload = function
        if self.reloads:
            function()

    def end(self, status: int) -> NoReturn:
        """End the process at once; a signal no longer changes its status."""
        for number in (RELOADS, *STOPS):
            _signal.signal(number, _signal.SIG_IGN)
        os._exit(status)

    def _receive_reload(self, _number: int, _frame: object) -> None:
        self.reloads += 1
        if self._reload is not None:
            self._reload()

    def _receive_stop(self, number: int, _frame: object) -> None:
        if self._stop is not None:
            self._stop()
            return
        write_line(f"signal {number} ended the process during its start\n")
        self.end(0)


def write_line(line: str) -> None:
    """Write to standard error what fits, without waiting for its reader."""
    try:
        blocking = os.get_blocking(STDERR)
        # A reader that stands still must not keep the process from its end.
        os.set_blocking(STDERR, False)
        try:
            os.write(STDERR, line.encode())
        finally:
            # Others may use the same terminal.
            os.set_blocking(STDERR, blocking)
    except OSError:
        pass
