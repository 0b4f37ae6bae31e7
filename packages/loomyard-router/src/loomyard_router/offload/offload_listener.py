"""Listener for connections of callers that other routers pass on."""

from __future__ import annotations

from typing import Any

from loomyard_router.offload.preamble import MAX_BYTES, decode_preamble
from loomyard_router.routed.app import TABLE_VERSION_KEY
from loomyard_router.routed.listener import RoutedHandler, RoutedListener


class OffloadedHandler(RoutedHandler):
    """Serve one request of a caller of another router.

    The other router does not parse the answer, so the end of the connection tells it the end.
    """

    _table_version = 0

    def read_requestline(self) -> str:
        if self._table_version:
            return ""
        self.socket.settimeout(self.server.limits().idle_seconds)
        self._stream.begin_request(head_bytes=self.max_head_bytes, body_bytes=self.max_body_bytes)
        version = decode_preamble(self.rfile.readline(MAX_BYTES))
        if version is None:
            return ""
        self._table_version = version
        return super().read_requestline()

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[TABLE_VERSION_KEY] = self._table_version
        return environ


class OffloadListener(RoutedListener):
    """Accept connections that other routers pass on; none is passed on once more."""

    handler_class = OffloadedHandler
