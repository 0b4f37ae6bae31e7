"""The protocol of messages between routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from loomyard.errors import Fault
    from loomyard_router.members.membership import Member

M = TypeVar("M")


class PeerLinks(Protocol):
    """Send typed messages (attrs classes registered by ``peer_message``) to other routers.

    Messages may be lost, duplicated or late; the sender is authenticated. Messages of more than
    about 1 MB are not sent.
    """

    def send(self, to: str, message: Any) -> bool:
        """Send without waiting for an answer; false where no link can be used now."""

    def request(
        self, to: str, message: Any, deadline: float, *, urgent: bool = False
    ) -> Result[Any, Fault]:
        """Send a request and return the answer.

        One that is ``urgent`` leaves before this returns to the event loop, however much that lags.

        Errors: ``PEER_UNREACHABLE`` (the peer may have received it), ``PEER_FAILED``.
        """

    def handle(self, kind: type[M], handler: Callable[[Member, M], Any]) -> None:
        """Register the handler of a message type; its result is the answer.

        The handler of a message that is not a request must not block, since the link waits for it.
        """

    def start(self) -> None:
        """Start the tasks."""

    def stop(self) -> None:
        """End the tasks."""
