"""The protocol of a share policy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault
    from loomyard.routing import Routing
    from loomyard_router.shares.admission import Admission
    from loomyard_router.shares.waiting import WaitingRequest


class SharePolicy(Protocol):
    """Decide which waiting request gets the next slot.

    Every admission ends with exactly one ``finish``. Costs are in units of the service.
    """

    def submit(self, waiting: WaitingRequest) -> Result[None, Fault]:
        """Queue a request; it is admitted through its ``admitted``.

        Error: ``QUEUE_FULL`` with ``retry_after``.
        """

    def withdraw(self, waiting: WaitingRequest) -> bool:
        """Take a request out of the queue; false where it was admitted already."""

    def charge(self, admission: Admission, cost: float) -> None:
        """Charge the cost that an admitted request has reached so far."""

    def finish(self, admission: Admission, cost: float) -> None:
        """Settle an admitted request to what really ran and free its slot."""

    def reconfigure(self, routing: Routing) -> None:
        """Take over a configuration."""

    def start(self) -> None:
        """Start the tasks of the policy."""

    def stop(self) -> None:
        """Give all slots back and end the tasks."""
