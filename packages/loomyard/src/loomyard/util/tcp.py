"""TCP connections without Nagle's algorithm, which are closed when the peer is unresponsive.

With Nagle's algorithm a body written after its head waits up to 40 ms for the acknowledgement of
the head; every listener and client here turns it off.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING, Any

from gevent.pywsgi import WSGIServer
from geventhttpclient import HTTPClient

from loomyard.util.answer_bounds import BoundedHeaders, bound_answers

if TYPE_CHECKING:
    from geventhttpclient.connectionpool import ConnectionPool


# The kernel closes a connection after 3 s without an answer to keepalive probes or an
# acknowledgement of sent bytes. Otherwise a long-poll read would hang on a connection that the
# network dropped without a reset. On a local network, two lost packets take less time to recover;
# users accept 3 s after a reset of connections.
USER_TIMEOUT_MILLISECONDS = 3000
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
_LINGER = struct.Struct("ii")
_COUNT = struct.Struct("i")


class NoDelayServer(WSGIServer):
    """A WSGI server with TCP_NODELAY on its connections, which inherit it from the listener."""

    def init_socket(self) -> None:
        super().init_socket()
        disable_nagle(self.socket)

    def update_environ(self) -> None:
        # The base class would look up the name of the address, in a thread.
        if isinstance(self.address, tuple):
            self.environ.setdefault("SERVER_NAME", str(self.address[0]))
        super().update_environ()


def make_http_client(host: str, port: int, **options: Any) -> HTTPClient:
    """Make an ``HTTPClient`` with TCP_NODELAY, keepalive and bounded answers.

    ``options`` are passed on to it.
    """
    client = HTTPClient(host, port, headers_type=BoundedHeaders, **options)
    bound_answers(client._connection_pool)
    set_connection_options(client._connection_pool)
    return client


def set_connection_options(pool: ConnectionPool) -> None:
    """Set TCP_NODELAY and keepalive on every connection that a pool opens."""
    original = pool.after_connect

    def after_connect(sock: socket.socket) -> Any:
        disable_nagle(sock)
        set_keepalive(sock)
        return original(sock)

    pool.after_connect = after_connect  # type: ignore[method-assign]


def disable_nagle(sock: Any) -> None:
    """Turn Nagle's algorithm off."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def set_keepalive(sock: Any) -> None:
    """Let the kernel close a connection whose peer does not respond any more."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def set_reset_on_close(sock: Any, enabled: bool) -> None:
    """Let a close reset the connection, also where the process ends, or let it end in order.

    A reset drops what was not sent yet.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(enabled, 0))


def count_unacknowledged(sock: Any) -> int:
    """Return how many sent bytes the peer has not acknowledged; 0 where the system can't tell."""
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size))
    except OSError:
        return 0
    return int(_COUNT.unpack(answer)[0])
