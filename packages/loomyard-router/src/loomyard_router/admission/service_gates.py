"""The source of places for each kind of service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.admission.place_client import APART_LEVEL
from loomyard_router.admission.place_source import PlaceSource
from loomyard_router.announced.cold_targets import ColdTargets
from loomyard_router.announced.target_board import TargetBoard
from loomyard_router.routes.table_holder import TableHolder

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault
    from loomyard_router.admission.place import Place
    from loomyard_router.announced.target_life import TargetLife
    from loomyard_router.routed.routed_request import RoutedRequest


@frozen(kw_only=True)
class ServiceGates:
    """Engines are filled by the whole fleet; plain services have room, and each router its part.

    While all targets of a plain service are cold, they are shared like engines: only the keeper of
    a target counts what the whole fleet sends there. So are they for a request that has to run
    apart from others of its kind.
    """

    holder: TableHolder
    board: TargetBoard
    cold: ColdTargets
    engines: PlaceSource
    plain: PlaceSource

    def take(self, request: RoutedRequest, avoided: frozenset[TargetLife]) -> Result[Place, Fault]:
        """Wait for a place, as ``PlaceSource`` says."""
        table = self.holder.table
        terms = table.services.get(request.service) if table else None
        shared = terms is not None and (
            terms.engine is not None
            or request.suspicion >= APART_LEVEL
            or self._all_cold(request.service)
        )
        return (self.engines if shared else self.plain).take(request, avoided)

    def _all_cold(self, service: str) -> bool:
        usable = self.board.usable(service)
        return bool(usable) and all(self.cold.rate(target) for target in usable)
