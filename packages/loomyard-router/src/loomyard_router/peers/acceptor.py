"""Accept connections of other routers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from gevent.pool import Pool
from gevent.server import StreamServer
from websockets.sync.server import serve

from loomyard_router.peers.connections import AcceptedConnection

if TYPE_CHECKING:
    import socket
    import ssl
    from collections.abc import Callable

    from websockets.sync.connection import Connection

# The library tells of each connection at INFO; the events of the links say what matters.
library_logger = logging.getLogger("loomyard.websockets")
library_logger.setLevel(logging.CRITICAL)

MAX_CONNECTIONS = 1024
OPEN_TIMEOUT = 3.0
# Of a stranger, until it has proven the fleet secret.
MAX_HANDSHAKE_BYTES = 4096


class Acceptor:
    """Listen and give each websocket connection to a handler, in its own task.

    The library's own accept loop is not used: it leaves watchers of a closed listener behind.
    """

    def __init__(
        self,
        listener: socket.socket,
        handler: Callable[[Connection], None],
        context: ssl.SSLContext | None,
    ) -> None:
        self._context = context
        self._library = serve(
            handler,
            sock=listener,
            create_connection=AcceptedConnection,
            compression=None,
            ping_interval=None,
            open_timeout=OPEN_TIMEOUT,
            close_timeout=OPEN_TIMEOUT,
            max_size=MAX_HANDSHAKE_BYTES,
            server_header=None,
            logger=library_logger,
        )
        self._server = StreamServer(listener, self._take, spawn=Pool(MAX_CONNECTIONS))

    def start(self) -> None:
        """Start to accept."""
        self._server.start()

    def stop(self) -> None:
        """Stop to accept; connections that stand stay."""
        self._server.stop_accepting()
        self._server.close()

    def _take(self, connection: socket.socket, address: object) -> None:
        if self._context is None:
            self._library.handler(connection, address)
            return
        try:
            with gevent.Timeout(OPEN_TIMEOUT, TimeoutError):
                secured = self._context.wrap_socket(connection, server_side=True)
        except (OSError, TimeoutError):
            connection.close()
            return
        self._library.handler(secured, address)
