"""Detection of callers that disconnect."""

from __future__ import annotations

import socket as sockets
from typing import TYPE_CHECKING

import gevent

from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from gevent.socket import socket

    from loomyard_router.requests.caller_presence import CallerPresence

READABLE = 1
ESTABLISHED = 1
CHECK_SECONDS = 1.0


class PresenceWatch:
    """Watch the connection of a caller while its request is served.

    A connection becomes readable when it is closed or when the next request arrives; the TCP state
    tells which without reading a byte. After the next request arrives, the state is polled every
    ``CHECK_SECONDS``, because the connection stays readable.
    """

    def __init__(self, sock: socket, presence: CallerPresence) -> None:
        self._sock = sock
        self._presence = presence
        loop = gevent.get_hub().loop
        self._readable = loop.io(sock.fileno(), READABLE)
        self._timer = loop.timer(CHECK_SECONDS, CHECK_SECONDS)
        self._readable.start(self._check)
        presence.set_probe(lambda: _is_connected(sock))

    def stop(self) -> None:
        """Stop watching and release the event-loop watchers."""
        for watcher in (self._readable, self._timer):
            watcher.stop()
            watcher.close()

    def _check(self) -> None:
        if _is_connected(self._sock):
            self._readable.stop()
            self._timer.start(self._check)
            return
        self._timer.stop()
        self._readable.stop()
        start_task("caller presence", self._presence.mark_gone)


def _is_connected(sock: socket) -> bool:
    try:
        info = sock.getsockopt(sockets.IPPROTO_TCP, sockets.TCP_INFO, 1)
    except OSError:
        return False
    return info[0] == ESTABLISHED
