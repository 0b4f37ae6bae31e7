"""The links of a router without peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Result

from loomyard.errors import Fault, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable


class NoPeers:
    """``PeerLinks`` on which every message fails."""

    def send(self, to: str, message: Any) -> bool:
        return False

    def request(
        self, to: str, message: Any, deadline: float, *, urgent: bool = False
    ) -> Result[Any, Fault]:
        return Err(Fault(code=ResultCode.PEER_UNREACHABLE, detail=f"no link to {to}"))

    def handle(self, kind: type, handler: Callable) -> None:
        pass

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass
