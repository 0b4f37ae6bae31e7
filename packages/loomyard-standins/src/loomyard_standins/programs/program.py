"""A process that the soak started."""

from __future__ import annotations

import json
import os
import resource
import signal
from pathlib import Path
from typing import TYPE_CHECKING, Any

import gevent
from gevent import subprocess
from gevent.event import Event
from gevent.lock import BoundedSemaphore

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    Listener = Callable[[dict[str, Any]], None]

EXIT_TIMEOUT_SECONDS = 15.0
# A program takes seconds to start on a busy host, but never that long.
LISTEN_TIMEOUT_SECONDS = 60.0


class Program:
    """One process; each JSON line of its standard output is passed to a listener.

    ``address_space`` limits its address space to so many bytes, 0 leaves it as it is.
    """

    def __init__(
        self,
        command: list[str],
        log: Path,
        listener: Listener,
        environment: Mapping[str, str] = {},
        address_space: int = 0,
    ) -> None:
        # Unbuffered, as tests read the log of a program that runs.
        self._log = log.open("ab", buffering=0)
        self._listener = listener
        self._listening = Event()
        # A write of more than the pipe holds waits for the reader, and another may not begin then.
        self._writing = BoundedSemaphore()
        self._port = 0
        self._process = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self._log,
            env={**os.environ, **environment},
        )
        if address_space:
            limits = (address_space, address_space)
            resource.prlimit(self._process.pid, resource.RLIMIT_AS, limits)
        self._reader = gevent.spawn(self._read)

    @property
    def running(self) -> bool:
        return self._process.poll() is None

    @property
    def status(self) -> int | None:
        """Return the exit status, negative for a signal, ``None`` while the process runs."""
        return self._process.poll()

    @property
    def port(self) -> int:
        """Return the port on which the program reported to listen.

        Raises ``TimeoutError`` after LISTEN_TIMEOUT_SECONDS.
        """
        if not self._listening.wait(LISTEN_TIMEOUT_SECONDS):
            raise TimeoutError(f"program did not listen in time; see {self._log.name}")
        if not self._port:
            # It was killed before it listened; the waiting greenlet has nothing left to do.
            raise gevent.GreenletExit
        return self._port

    def send_line(self, line: str) -> None:
        """Write a line to the standard input of the process, after those of other tasks."""
        with self._writing:
            self._process.stdin.write(line.encode() + b"\n")
            self._process.stdin.flush()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process and no other."""
        if self.running:
            self._process.send_signal(number)

    def catches(self, number: signal.Signals) -> bool:
        """Return whether the process has a handler for a signal."""
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="utf-8")
        except OSError:
            return False
        caught = next(line for line in status.splitlines() if line.startswith("SigCgt:"))
        return bool(int(caught.split()[1], 16) >> (number - 1) & 1)

    def wait(self, seconds: float = EXIT_TIMEOUT_SECONDS) -> bool:
        """Wait for the process to exit; return whether it did within the time."""
        try:
            self._process.wait(timeout=seconds)
        except subprocess.TimeoutExpired:
            return False
        return True

    def kill(self) -> None:
        """Kill the process and pass on the rest of its output."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.wait()
        self._reader.join(EXIT_TIMEOUT_SECONDS)
        self._listening.set()
        self._log.close()

    def _read(self) -> None:
        for line in self._process.stdout:
            self._log.write(line)
            message = json.loads(line)
            if "listening" in message:
                self._port = message["listening"]
                self._listening.set()
            else:
                self._listener(message)
