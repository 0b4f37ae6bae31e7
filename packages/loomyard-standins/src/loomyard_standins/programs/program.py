"""A program that the soak started."""

from __future__ import annotations

import json
import os
import signal
from typing import TYPE_CHECKING, Any

import gevent
from gevent import subprocess
from gevent.event import Event

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from pathlib import Path

    Listener = Callable[[dict[str, Any]], None]

END_SECONDS = 15.0
# A busy machine takes seconds to start a program; none that starts at all takes as long.
LISTEN_SECONDS = 60.0


class Program:
    """One process; what it says on standard output in lines of JSON goes to a listener."""

    def __init__(
        self, command: list[str], log: Path, listener: Listener, environment: Mapping[str, str] = {}
    ) -> None:
        self._log = log.open("ab")
        self._listener = listener
        self._listening = Event()
        self._port = 0
        self._process = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self._log,
            env={**os.environ, **environment},
        )
        self._reader = gevent.spawn(self._read)

    @property
    def running(self) -> bool:
        return self._process.poll() is None

    @property
    def port(self) -> int:
        """Return the port at which the program said that it listens."""
        if not self._listening.wait(LISTEN_SECONDS):
            raise TimeoutError(f"a program does not listen; see {self._log.name}")
        if not self._port:
            # It was ended first, so whoever waits for it has nothing left to do.
            raise gevent.GreenletExit
        return self._port

    def tell(self, line: str) -> None:
        """Write a line to its standard input."""
        self._process.stdin.write(line.encode() + b"\n")
        self._process.stdin.flush()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process and no other."""
        if self.running:
            self._process.send_signal(number)

    def wait(self, seconds: float = END_SECONDS) -> bool:
        """Wait for its end; tell whether it came."""
        try:
            self._process.wait(timeout=seconds)
        except subprocess.TimeoutExpired:
            return False
        return True

    def end(self) -> None:
        """End it at once and hear what it said to its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.wait()
        self._reader.join(END_SECONDS)
        self._listening.set()
        self._log.close()

    def _read(self) -> None:
        for line in self._process.stdout:
            self._log.write(line)
            said = json.loads(line)
            if "listening" in said:
                self._port = said["listening"]
                self._listening.set()
            else:
                self._listener(said)
