"""Protocol of a share policy."""

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
        """Queue a request; its ``admitted`` receives the admission.

        Errors: ``QUEUE_FULL``, ``DEADLINE_UNREACHABLE``, both with ``retry_after``.
        """

    def withdraw(self, waiting: WaitingRequest) -> bool:
        """Remove a request from the queue; return false if it is admitted already."""

    def charge(self, admission: Admission, cost: float) -> None:
        """Charge an admitted request up to ``cost``, its total cost so far."""

    def finish(self, admission: Admission, cost: float) -> None:
        """Charge an admitted request its actual total cost and free its slot."""

    def reconfigure(self, routing: Routing) -> None:
        """Apply a configuration."""

    def start(self) -> None:
        """Start the tasks of the policy."""

    def stop(self) -> None:
        """Return all slots and end the tasks."""
