"""The listener for readiness checks of the load balancer."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from gevent.pool import Pool

from loomyard.util.tcp import NoDelayServer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from loomyard_router.startup.routed_sockets import Listener


class ReadyListener(NoDelayServer):
    """Answer one path with 200 while the router is ready, and with 503 otherwise."""

    def __init__(self, listener: Listener, path: str, ready: Callable[[], bool]) -> None:
        self._path = path
        self._ready = ready
        super().__init__(listener, self._serve, log=None, spawn=Pool())

    def _serve(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        status = HTTPStatus.NOT_FOUND
        if environ["PATH_INFO"] == self._path:
            status = HTTPStatus.OK if self._ready() else HTTPStatus.SERVICE_UNAVAILABLE
        start_response(f"{status.value} {status.phrase}", [("Content-Length", "0")])
        return [b""]
