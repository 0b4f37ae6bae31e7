"""WSGI server of the operators' interface."""

from __future__ import annotations

import logging
import ssl
from typing import Any

from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from loomyard.events import Event, emit

logger = logging.getLogger(__name__)

MAX_CONNECTIONS = 256


class OperatorServer(WSGIServer):
    """A WSGI server with limited connections, which logs a failed TLS handshake as one event."""

    def __init__(self, listener: tuple[str, int], application: Any, **tls: str) -> None:
        pool = Pool(MAX_CONNECTIONS)
        super().__init__(listener, application, log=None, error_log=logger, spawn=pool, **tls)

    def wrap_socket_and_handle(self, client_socket: Any, address: Any) -> Any:
        try:
            return super().wrap_socket_and_handle(client_socket, address)
        except ssl.SSLError as error:
            emit(logger, Event.OPERATOR_REFUSED, peer=address[0], detail=str(error))
        return None
