"""The source of places for each kind of service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.admission.place_source import PlaceSource
from loomyard_router.routes.table_holder import TableHolder

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault
    from loomyard_router.admission.place import Place
    from loomyard_router.routed.routed_request import RoutedRequest


@frozen(kw_only=True)
class ServiceGates:
    """Engines are filled by the whole fleet; plain services have room, and each router its part."""

    holder: TableHolder
    engines: PlaceSource
    plain: PlaceSource

    def take(self, request: RoutedRequest, avoided: frozenset[str]) -> Result[Place, Fault]:
        """Wait for a place, as ``PlaceSource`` says."""
        table = self.holder.table
        terms = table.services.get(request.service) if table else None
        source = self.engines if terms and terms.engine else self.plain
        return source.take(request, avoided)
