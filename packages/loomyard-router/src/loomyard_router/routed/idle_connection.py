"""A connection of a caller on which no request is in progress."""

from __future__ import annotations

import socket as sockets

from attrs import define
from gevent.socket import socket


@define(eq=False)
class IdleConnection:
    """A connection that waits for a request, and since when."""

    socket: socket
    since: float
    is_closing: bool = False

    @property
    def has_unread_bytes(self) -> bool:
        """Tell whether bytes wait in the socket, which its task has not seen yet."""
        timeout = self.socket.gettimeout()
        self.socket.settimeout(0.0)
        try:
            return bool(self.socket.recv(1, sockets.MSG_PEEK))
        except OSError:
            return False
        finally:
            self.socket.settimeout(timeout)
