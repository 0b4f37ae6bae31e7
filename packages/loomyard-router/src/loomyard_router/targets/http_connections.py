"""Connections to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from gevent.socket import IPPROTO_TCP, TCP_NODELAY
from geventhttpclient.connectionpool import ConnectionPool, SSLConnectionPool

from loomyard.util.tcp import send_at_once

if TYPE_CHECKING:
    from gevent.socket import socket

CONNECT_TIMEOUT = 1.0
ANSWER_TIMEOUT = 300.0
CONCURRENCY = 4096
DEFAULT_PORTS = {"http": 80, "https": 443}


class PromptConnections:
    """Mix in connections that send each write at once."""

    def after_connect(self, sock: socket) -> None:
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)


class KeptPool(PromptConnections, ConnectionPool):
    """Plain connections that are kept for the next request."""


class KeptSslPool(PromptConnections, SSLConnectionPool):
    """TLS connections that are kept for the next request."""


class FreshConnections(PromptConnections):
    """Mix in connections that carry one request only."""

    def return_socket(self, sock: socket) -> None:
        self.release_socket(sock)  # type: ignore[attr-defined]


class FreshPool(FreshConnections, ConnectionPool):
    """Plain connections that carry one request only."""


class FreshSslPool(FreshConnections, SSLConnectionPool):
    """TLS connections that carry one request only."""


class Connections:
    """Kept connections for repeatable calls, fresh ones for the others.

    A kept connection may be closed by the target while a request is written to it, and then
    nobody can tell whether it ran; a call that may run only once does not take that risk.
    """

    def __init__(self) -> None:
        self._pools: dict[tuple[str, str, int, bool], ConnectionPool] = {}

    def pool(self, url: str, *, kept: bool) -> ConnectionPool:
        """Return the pool for a target."""
        parts = urlsplit(url)
        port = parts.port or DEFAULT_PORTS[parts.scheme]
        key = (parts.scheme, parts.hostname or "", port, kept)
        if key not in self._pools:
            self._pools[key] = _make_pool(*key)
        return self._pools[key]


def _make_pool(scheme: str, host: str, port: int, kept: bool) -> ConnectionPool:
    plain, secure = (KeptPool, KeptSslPool) if kept else (FreshPool, FreshSslPool)
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
    send_at_once(pool)
    return pool
