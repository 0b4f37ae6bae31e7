"""The source of places for each kind of service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.admission.admission_gate import AdmissionGate
from loomyard_router.admission.place_client import APART_LEVEL
from loomyard_router.announced.cold_targets import ColdTargets
from loomyard_router.announced.target_registry import TargetRegistry
from loomyard_router.routes.table_holder import TableHolder

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault
    from loomyard_router.admission.slot_permit import SlotPermit
    from loomyard_router.announced.target_incarnation import TargetIncarnation
    from loomyard_router.routed.routed_request import RoutedRequest


@frozen(kw_only=True)
class ServiceGates:
    """Engines are filled by the whole fleet; plain services have room, and each router its part.

    While all targets of a plain service are cold, they are shared like engines: only the keeper of
    a target counts what the whole fleet sends there. So are they for a request that has to run
    apart from others of its kind.
    """

    holder: TableHolder
    registry: TargetRegistry
    cold: ColdTargets
    engines: AdmissionGate
    plain: AdmissionGate

    def acquire(
        self, request: RoutedRequest, avoided: frozenset[TargetIncarnation]
    ) -> Result[SlotPermit, Fault]:
        """Wait for a place, as ``PlaceSource`` says."""
        table = self.holder.table
        terms = table.services.get(request.service) if table else None
        shared = terms is not None and (
            terms.engine is not None
            or request.crash_count >= APART_LEVEL
            or self._all_cold(request.service)
        )
        return (self.engines if shared else self.plain).acquire(request, avoided)

    def _all_cold(self, service: str) -> bool:
        usable = self.registry.usable(service)
        return bool(usable) and all(self.cold.rate_limit(target) for target in usable)
