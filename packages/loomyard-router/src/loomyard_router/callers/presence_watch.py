"""Detection of callers that disconnect."""

from __future__ import annotations

import socket as sockets
from functools import cache
from typing import TYPE_CHECKING

import gevent

from loomyard_router.callers.hangup_watch import READABLE, HangupWatch
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from gevent.socket import socket

    from loomyard_router.requests.caller_presence import CallerPresence

ESTABLISHED = 1


class PresenceWatch:
    """Watch the connection of a caller while its request is served.

    Once the body has been read, a connection becomes readable when it is closed or when the next
    request arrives; the TCP state tells which without reading a byte. With a next request it stays
    readable, and is watched for a hang-up alone from then on.
    """

    def __init__(self, sock: socket, presence: CallerPresence) -> None:
        self._socket = sock
        self._descriptor = sock.fileno()
        self._presence = presence
        self._hangups: HangupWatch | None = None
        self._readable = gevent.get_hub().loop.io(self._descriptor, READABLE)
        presence.set_probe(lambda: _is_connected(sock))

    def start(self) -> None:
        """Start to watch, as the whole request has been read.

        Before, its reader sees the end of the connection, and bytes that arrive are its body.
        """
        self._readable.start(self._check)

    def stop(self) -> None:
        """Stop to watch, before the next request is read or the socket is closed."""
        self._readable.stop()
        self._readable.close()
        if self._hangups is not None:
            self._hangups.remove(self._descriptor)

    def _check(self) -> None:
        self._readable.stop()
        if _is_connected(self._socket):
            self._hangups = _hangup_watch(gevent.get_hub())
            self._hangups.add(self._descriptor, self._mark_gone)
        else:
            self._mark_gone()

    def _mark_gone(self) -> None:
        start_task("caller presence", self._presence.mark_gone)


@cache
def _hangup_watch(_hub: gevent.hub.Hub) -> HangupWatch:
    """Return the watch of an event loop."""
    return HangupWatch()


def _is_connected(sock: socket) -> bool:
    try:
        info = sock.getsockopt(sockets.IPPROTO_TCP, sockets.TCP_INFO, 1)
    except OSError:
        return False
    return info[0] == ESTABLISHED
