"""Protocol of admission gates."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault
    from loomyard_router.admission.slot_permit import SlotPermit
    from loomyard_router.announced.target_incarnation import TargetLife
    from loomyard_router.routed.routed_request import RoutedRequest


class AdmissionGate(Protocol):
    """Give requests permits for slots at targets."""

    def acquire(
        self, request: RoutedRequest, excluded: frozenset[TargetLife]
    ) -> Result[SlotPermit, Fault]:
        """Wait for a slot at a target that is not excluded.

        Errors: ``NO_TARGET``, ``QUEUE_FULL``, ``QUEUE_TIMEOUT``, ``CALLER_GONE``; nothing ran.
        """
