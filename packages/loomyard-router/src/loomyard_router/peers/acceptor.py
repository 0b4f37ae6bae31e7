"""The listener for connections of other routers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from gevent.pool import Pool
from gevent.server import StreamServer
from websockets.exceptions import WebSocketException

from loomyard_router.memory.shortages import note_shortage
from loomyard_router.peers.channel import WebSocketChannel, accept_channel

if TYPE_CHECKING:
    import socket
    import ssl
    from collections.abc import Callable

# The library logs each connection at INFO; the links log what matters as events.
library_logger = logging.getLogger("loomyard.websockets")
library_logger.setLevel(logging.CRITICAL)

MAX_CONNECTIONS = 1024
OPEN_TIMEOUT = 3.0
# Limit for a peer that has not yet proven the fleet secret.
MAX_HANDSHAKE_FRAME_BYTES = 4096


class Acceptor:
    """Listen and call a handler with each websocket connection, in a task of its own."""

    def __init__(
        self,
        listener: socket.socket,
        handler: Callable[[WebSocketChannel], None],
        context: ssl.SSLContext | None,
    ) -> None:
        self._context = context
        self._handler = handler
        self._server = StreamServer(listener, self._serve, spawn=Pool(MAX_CONNECTIONS))

    def start(self) -> None:
        """Start to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting; open connections stay open."""
        self._server.stop_accepting()
        self._server.close()

    def _serve(self, connection: socket.socket, _: object) -> None:
        try:
            with gevent.Timeout(OPEN_TIMEOUT, TimeoutError):
                if self._context is not None:
                    connection = self._context.wrap_socket(connection, server_side=True)
                channel = accept_channel(
                    connection, max_bytes=MAX_HANDSHAKE_FRAME_BYTES, logger=library_logger
                )
        except (OSError, TimeoutError, EOFError, WebSocketException, MemoryError) as error:
            note_shortage(error)
            connection.close()
            return
        try:
            self._handler(channel)
        finally:
            channel.close_socket()
