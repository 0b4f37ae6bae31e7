"""TCP connections that send at once.

A head and a body written one after the other wait 40 ms for each other's acknowledgement where
the sender gathers small segments; every listener and client here turns that off.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

from gevent.pywsgi import WSGIServer
from geventhttpclient import HTTPClient

if TYPE_CHECKING:
    from geventhttpclient.connectionpool import ConnectionPool


class NoDelayServer(WSGIServer):
    """A WSGI server whose connections send at once; accepted sockets inherit the option."""

    def init_socket(self) -> None:
        super().init_socket()
        disable_delay(self.socket)


def make_http_client(host: str, port: int, **options: Any) -> HTTPClient:
    """Make a client whose connections send at once; the options are those of ``HTTPClient``."""
    client = HTTPClient(host, port, **options)
    send_at_once(client._connection_pool)
    return client


def send_at_once(pool: ConnectionPool) -> None:
    """Let the connections that a pool makes send at once."""
    connected = pool.after_connect

    def after_connect(sock: socket.socket) -> Any:
        disable_delay(sock)
        return connected(sock)

    pool.after_connect = after_connect  # type: ignore[method-assign]


def disable_delay(sock: Any) -> None:
    """Turn the gathering of small segments off."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
