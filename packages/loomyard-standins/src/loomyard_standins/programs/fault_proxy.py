"""A TCP proxy on loopback that injects faults into its connections."""

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
    """A fault of all connections, open and new ones, while it is set."""

    NONE = "none"
    DROP_ALL = "silent"
    DROP_ANSWERS = "one way"
    DELAYED = "delayed"
    RESET = "reset"


@define(eq=False)
class _Link:
    """A proxied connection.

    Once bytes were dropped its stream is incomplete, so it drops everything from then on.
    """

    client: socket.socket
    upstream: socket.socket
    dropping: bool = False


class FaultProxy:
    """Forward connections to an address, with the fault that is set."""

    def __init__(self, host: str, upstream_address: tuple[str, int], clock: Clock) -> None:
        self.upstream_address = upstream_address
        self._fault = LinkFault.NONE
        self._clock = clock
        self._links: set[_Link] = set()
        self._server = StreamServer((host, 0), self._serve)

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop_listening(self) -> None:
        """Refuse new connections from now on, as a VM does whose process has ended."""
        self._server.stop(timeout=0)

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.stop(timeout=0)
        self._reset_all()

    def set_fault(self, fault: LinkFault) -> None:
        """Set the fault of all connections; ``LinkFault.NONE`` ends it."""
        self._fault = fault
        if fault is LinkFault.RESET:
            self._reset_all()

    def _serve(self, client: socket.socket, _: object) -> None:
        if self._fault is LinkFault.RESET:
            _reset(client)
            return
        try:
            upstream = socket.create_connection(self.upstream_address, timeout=CONNECT_SECONDS)
        except OSError:
            _reset(client)
            return
        upstream.settimeout(None)
        for sock in (client, upstream):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = _Link(client, upstream)
        self._links.add(link)
        to_upstream = gevent.spawn(self._pump, link, client, upstream)
        to_client = gevent.spawn(self._pump, link, upstream, client)
        gevent.joinall([to_upstream, to_client])
        self._links.discard(link)
        client.close()
        upstream.close()

    def _pump(self, link: _Link, source: socket.socket, sink: socket.socket) -> None:
        try:
            while block := source.recv(BLOCK_BYTES):
                if self._fault is LinkFault.DELAYED:
                    self._clock.sleep(DELAY_SECONDS)
                if self._drops(answer=source is link.upstream):
                    link.dropping = True
                if not link.dropping:
                    sink.sendall(block)
            if not link.dropping:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(source)
            _reset(sink)

    def _drops(self, *, answer: bool) -> bool:
        answers_dropped = self._fault is LinkFault.DROP_ANSWERS and answer
        return answers_dropped or self._fault is LinkFault.DROP_ALL

    def _reset_all(self) -> None:
        for link in list(self._links):
            _reset(link.client)
            _reset(link.upstream)


def _reset(sock: socket.socket) -> None:
    """Close a connection with a reset (zero linger time)."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    except OSError as error:
        logger.debug("connection already closed: %r", error)
    sock.close()
