"""Select the admission gate for a request by its service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.admission.admission_gate import AdmissionGate
from loomyard_router.admission.slot_client import ISOLATION_THRESHOLD
from loomyard_router.announced.cold_targets import ColdTargets
from loomyard_router.announced.target_registry import TargetRegistry
from loomyard_router.routes.route_table_holder import RouteTableHolder

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault
    from loomyard_router.admission.slot_permit import SlotPermit
    from loomyard_router.announced.target_incarnation import TargetLife
    from loomyard_router.routed.routed_request import RoutedRequest


@frozen(kw_only=True)
class GateSelector:
    """Gate for all services: the fleet shares engines, each router has a quota of plain services.

    A plain service of which all targets are cold goes through the slot owners like an engine, since
    only the owner of a target counts what the whole fleet sends there. So does a request that has
    to run apart from other suspected ones.
    """

    holder: RouteTableHolder
    registry: TargetRegistry
    cold: ColdTargets
    engines: AdmissionGate
    plain: AdmissionGate

    def acquire(
        self, request: RoutedRequest, excluded: frozenset[TargetLife]
    ) -> Result[SlotPermit, Fault]:
        """Wait for a slot, see ``AdmissionGate``."""
        table = self.holder.table
        terms = table.services.get(request.service) if table else None
        shared = terms is not None and (
            terms.engine is not None
            or request.crash_count >= ISOLATION_THRESHOLD
            or self._all_cold(request.service)
        )
        return (self.engines if shared else self.plain).acquire(request, excluded)

    def _all_cold(self, service: str) -> bool:
        usable = self.registry.usable(service)
        return bool(usable) and all(self.cold.rate_limit(target) for target in usable)
