"""Listener for health checks, readiness checks and metrics."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from gevent.pool import Pool
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from loomyard.util.addresses import split_address
from loomyard.util.optional_listener import OptionalListener
from loomyard.util.tcp import NoDelayServer
from loomyard_router.metrics.exposition import expose

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from prometheus_client.registry import Collector

HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"
PLAIN_TYPE = "text/plain"


class MetricsServer(OptionalListener):
    """Serves /healthz, /readyz and /metrics; without an address it does not listen."""

    def __init__(self, address: str, ready: Callable[[], bool], collector: Collector) -> None:
        self._ready = ready
        self._collector = collector
        super().__init__(self._make_server(address), stop_timeout=0)

    def serve(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        """Answer a request as a WSGI application."""
        status, kind, body = self._answer(environ["PATH_INFO"])
        start_response(f"{status.value} {status.phrase}", [("Content-Type", kind)])
        return [body]

    def _make_server(self, address: str) -> NoDelayServer | None:
        if not address:
            return None
        return NoDelayServer(split_address(address), self.serve, log=None, spawn=Pool())

    def _answer(self, path: str) -> tuple[HTTPStatus, str, bytes]:
        if path == METRICS_PATH:
            return HTTPStatus.OK, CONTENT_TYPE_LATEST, expose(self._collector)
        if path == HEALTH_PATH or (path == READY_PATH and self._ready()):
            return HTTPStatus.OK, PLAIN_TYPE, b"ok\n"
        if path == READY_PATH:
            return HTTPStatus.SERVICE_UNAVAILABLE, PLAIN_TYPE, b"not ready\n"
        return HTTPStatus.NOT_FOUND, PLAIN_TYPE, b"not found\n"
