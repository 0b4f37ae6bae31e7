"""A TCP proxy on loopback that fails connections as it is told."""

from __future__ import annotations

import logging
import socket
import struct
from enum import Enum
from typing import TYPE_CHECKING

import gevent
from attrs import define
from gevent.server import StreamServer

if TYPE_CHECKING:
    from loomyard.clock import Clock

logger = logging.getLogger(__name__)

BLOCK_BYTES = 65536
CONNECT_SECONDS = 1.0
DELAY_SECONDS = 0.3
RESET = struct.pack("ii", 1, 0)


class LinkFault(Enum):
    """What happens to connections, old and new, while it lasts."""

    NONE = "none"
    SILENT = "silent"
    ONE_WAY = "one way"
    DELAYED = "delayed"
    RESET = "reset"


@define(eq=False)
class _Link:
    """A connection; one that lost bytes can't go on and stays silent for good."""

    near: socket.socket
    far: socket.socket
    silent: bool = False


class FaultProxy:
    """Pass connections on to an address."""

    def __init__(self, host: str, to: tuple[str, int], clock: Clock) -> None:
        self.to = to
        self._fault = LinkFault.NONE
        self._clock = clock
        self._links: set[_Link] = set()
        self._server = StreamServer((host, 0), self._serve)

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Start to listen."""
        self._server.start()

    def refuse(self) -> None:
        """Refuse connections from now on, as a machine does whose process has ended."""
        self._server.stop(timeout=0)

    def stop(self) -> None:
        """Close everything."""
        self._server.stop(timeout=0)
        self._reset_all()

    def set_fault(self, fault: LinkFault) -> None:
        """Begin a fault, or end it."""
        self._fault = fault
        if fault is LinkFault.RESET:
            self._reset_all()

    def _serve(self, near: socket.socket, _: object) -> None:
        if self._fault is LinkFault.RESET:
            _reset(near)
            return
        try:
            far = socket.create_connection(self.to, timeout=CONNECT_SECONDS)
        except OSError:
            _reset(near)
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = _Link(near, far)
        self._links.add(link)
        there = gevent.spawn(self._pump, link, near, far)
        back = gevent.spawn(self._pump, link, far, near)
        gevent.joinall([there, back])
        self._links.discard(link)
        near.close()
        far.close()

    def _pump(self, link: _Link, source: socket.socket, sink: socket.socket) -> None:
        try:
            while block := source.recv(BLOCK_BYTES):
                if self._fault is LinkFault.DELAYED:
                    self._clock.sleep(DELAY_SECONDS)
                if self._loses(answer=source is link.far):
                    link.silent = True
                if not link.silent:
                    sink.sendall(block)
            if not link.silent:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(source)
            _reset(sink)

    def _loses(self, *, answer: bool) -> bool:
        one_way = self._fault is LinkFault.ONE_WAY and answer
        return one_way or self._fault is LinkFault.SILENT

    def _reset_all(self) -> None:
        for link in list(self._links):
            _reset(link.near)
            _reset(link.far)


def _reset(sock: socket.socket) -> None:
    """Close a connection so that its peer sees a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    except OSError as error:
        logger.debug("a connection was closed already: %r", error)
    sock.close()
