"""Datagrams between routers over UDP."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from loomyard.clock import SystemClock
from loomyard.util.addresses import split_address
from loomyard_router.supervision.guard import call_guarded
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    import gevent

MAX_DATAGRAM_BYTES = 1200
RECEIVE_BYTES = 2048
HEADER_BYTES = 28  # of IPv4 and UDP


class Datagrams(Protocol):
    """Send and receive datagrams, which may be lost, duplicated or late."""

    def send(self, address: str, data: bytes) -> None:
        """Send without blocking; ``address`` is ``host:port``."""

    def start(self, receive: Callable[[bytes], None]) -> None:
        """Start to call a function with each received datagram."""

    def stop(self) -> None:
        """End the task and close the socket."""


class UdpDatagrams:
    """Datagrams on a bound UDP socket."""

    def __init__(self, bound: socket.socket) -> None:
        self._socket = bound
        self._task: gevent.Greenlet | None = None

    def send(self, address: str, data: bytes) -> None:
        # A datagram that can't be sent counts as lost.
        with suppress(OSError, ValueError):
            self._socket.sendto(data, split_address(address))

    def start(self, receive: Callable[[bytes], None]) -> None:
        self._task = start_supervised("datagrams", SystemClock(), self._run, receive)

    def stop(self) -> None:
        if self._task is not None:
            self._task.kill()
        self._socket.close()

    def _run(self, receive: Callable[[bytes], None]) -> None:
        while True:
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except ConnectionError:
                continue  # an ICMP error for an earlier datagram
            call_guarded("datagrams", receive, data)
