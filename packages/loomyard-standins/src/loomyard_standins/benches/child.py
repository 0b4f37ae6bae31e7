"""Child processes of a benchmark, killed by process id when the benchmark exits."""

from __future__ import annotations

import atexit
import json
import os
import signal
import sys
from typing import Any

import gevent
from gevent import subprocess
from gevent.fileobject import FileObject

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
READ_TIMEOUT_SECONDS = 20.0
EXIT_ORPHANED = 3


class Child:
    """A module of this package run as a process that prints one JSON object per line."""

    def __init__(self, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", f"loomyard_standins.benches.{module}", *arguments]
        self._process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, start_new_session=True
        )
        self._module = module
        atexit.register(self.kill)

    @property
    def pid(self) -> int:
        return self._process.pid

    def read(self, seconds: float = READ_TIMEOUT_SECONDS) -> dict[str, Any]:
        """Return the next JSON object of the output.

        Raises TimeoutError after ``seconds`` without one, RuntimeError if the process ended.
        """
        with gevent.Timeout(seconds, TimeoutError(f"{self._module} printed nothing in time")):
            line = self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self._module} exited without printing a result")
        return json.loads(line)

    def request(self, line: bytes, seconds: float = READ_TIMEOUT_SECONDS) -> dict[str, Any]:
        """Write a line to standard input and return the next JSON object of the output."""
        self.write(line)
        return self.read(seconds)

    def write(self, line: bytes) -> None:
        """Write a line to standard input."""
        self._process.stdin.write(line)
        self._process.stdin.flush()

    def cpu_seconds(self) -> float:
        """Return the CPU seconds used so far, 0 if the process no longer exists."""
        try:
            with open(f"/proc/{self.pid}/stat") as file:
                fields = file.read().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        atexit.unregister(self.kill)
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
        self._process.wait()


def send_to_parent(**fields: Any) -> None:
    """Print the fields as one JSON object for the parent process."""
    print(json.dumps(fields), flush=True)


def exit_with_parent() -> None:
    """Exit this process when its standard input closes, which happens if the parent ends."""
    gevent.spawn(_await_end_of_input)


def _await_end_of_input() -> None:
    stdin = FileObject(sys.stdin.fileno(), "rb", close=False)
    while stdin.read(1):
        pass
    os._exit(EXIT_ORPHANED)
