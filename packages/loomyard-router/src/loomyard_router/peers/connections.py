"""Connections of websockets that gevent can close safely."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress
from typing import TYPE_CHECKING

from websockets.sync.client import ClientConnection
from websockets.sync.server import ServerConnection

if TYPE_CHECKING:
    from websockets.sync.connection import Connection

    _Base = Connection
else:
    _Base = object


class _ClosedByReader(_Base):
    """Let only the task that polls the socket close it.

    The selector of gevent keeps watchers between polls, and libev aborts the process when it
    finds one on a closed file. Any other task therefore shuts the socket down, which wakes the
    reader with the end of the stream.
    """

    def close_socket(self) -> None:
        """Close the connection at once; return perhaps before the socket is closed."""
        if threading.current_thread() is self.recv_events_thread:
            super().close_socket()
            return
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        with self.protocol_mutex:
            self.protocol.receive_eof()
            self.recv_messages.close()
            self.terminate_pending_pings()


class OpenedConnection(_ClosedByReader, ClientConnection):
    """A connection that this router opened."""


class AcceptedConnection(_ClosedByReader, ServerConnection):
    """A connection that this router accepted."""
