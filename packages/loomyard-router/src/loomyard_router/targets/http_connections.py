"""Connection pools of HTTP targets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from gevent.socket import IPPROTO_TCP, TCP_NODELAY
from geventhttpclient.connectionpool import ConnectionPool, SSLConnectionPool

from loomyard.util.tcp import set_connection_options

if TYPE_CHECKING:
    from gevent.socket import socket

CONNECT_TIMEOUT = 1.0
ANSWER_TIMEOUT = 300.0
CONCURRENCY = 4096
DEFAULT_PORTS = {"http": 80, "https": 443}


class NoDelayConnections:
    """Mixin that disables Nagle's algorithm on new connections."""

    def after_connect(self, sock: socket) -> None:
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)


class KeepAlivePool(NoDelayConnections, ConnectionPool):
    """Plain connections that are reused for later requests."""


class KeepAliveSslPool(NoDelayConnections, SSLConnectionPool):
    """TLS connections that are reused for later requests."""


class SingleUseConnections(NoDelayConnections):
    """Mixin that closes each connection after one request."""

    def return_socket(self, sock: socket) -> None:
        self.release_socket(sock)  # type: ignore[attr-defined]


class SingleUsePool(SingleUseConnections, ConnectionPool):
    """Plain connections for one request each."""


class SingleUseSslPool(SingleUseConnections, SSLConnectionPool):
    """TLS connections for one request each."""


class ConnectionPools:
    """Pools by address: reused connections for idempotent calls, new ones for the others.

    The target may close a reused connection while a request is written to it, which leaves unknown
    whether the request ran. Non-idempotent calls avoid that risk.
    """

    def __init__(self) -> None:
        self._pools: dict[tuple[str, str, int, bool], ConnectionPool] = {}

    def pool(self, url: str, *, reuse: bool) -> ConnectionPool:
        """Return the pool for the target at a URL."""
        parts = urlsplit(url)
        port = parts.port or DEFAULT_PORTS[parts.scheme]
        key = (parts.scheme, parts.hostname or "", port, reuse)
        if key not in self._pools:
            self._pools[key] = _make_pool(*key)
        return self._pools[key]


def _make_pool(scheme: str, host: str, port: int, reuse: bool) -> ConnectionPool:
    plain, secure = (
        (KeepAlivePool, KeepAliveSslPool) if reuse else (SingleUsePool, SingleUseSslPool)
    )
    kind = secure if scheme == "https" else plain
    pool = kind(
        host,
        port,
        host,
        port,
        size=CONCURRENCY,
        connection_timeout=CONNECT_TIMEOUT,
        network_timeout=ANSWER_TIMEOUT,
    )
    set_connection_options(pool)
    return pool
