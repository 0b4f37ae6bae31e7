"""Base class of stand-ins that serve HTTP on the loopback interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_standins.closing_server import ClosingServer

if TYPE_CHECKING:
    from collections.abc import Callable

# Port 0: the system chooses a free port.
LOOPBACK = ("127.0.0.1", 0)


class ServedStandin:
    """HTTP server of a stand-in, with its address."""

    def __init__(self, listen: tuple[str, int], serve: Callable) -> None:
        self._server = ClosingServer(listen, serve)

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self._server.server_host}:{self._server.server_port}"

    @property
    def url(self) -> str:
        return f"http://{self.address}"

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving and end the open connections."""
        self._server.stop()
