"""TCP connections that send at once and do not stay open to a peer that fell silent.

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


# A connection whose peer answers no probe, or acknowledges nothing that was sent, ends after this
# long. Without it a read that waits for news hangs on a connection that the network forgot. Two
# lost packets take less on a local network, and users excuse 3 s after connections were reset.
MOST_SILENT_MILLISECONDS = 3000
PROBE_AFTER_SECONDS = 1
PROBE_EVERY_SECONDS = 1
MOST_PROBES = 2


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
    """Let the connections that a pool makes send at once and end with a silent peer."""
    connected = pool.after_connect

    def after_connect(sock: socket.socket) -> Any:
        disable_delay(sock)
        end_if_silent(sock)
        return connected(sock)

    pool.after_connect = after_connect  # type: ignore[method-assign]


def disable_delay(sock: Any) -> None:
    """Turn the gathering of small segments off."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def end_if_silent(sock: Any) -> None:
    """Let the kernel end a connection whose peer is gone without a word."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MOST_SILENT_MILLISECONDS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MOST_PROBES)
