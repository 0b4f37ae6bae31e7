"""Routes, services and client accounts of one version of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field, frozen

from loomyard_router.routes.account_config import AccountConfig
from loomyard_router.routes.caller_limits import CallerLimits
from loomyard_router.routes.route import Route
from loomyard_router.routes.service_config import ServiceConfig

if TYPE_CHECKING:
    from collections.abc import Iterable


@frozen(kw_only=True, eq=False)
class RouteTable:
    """An immutable version; a request is served by the version in force when it arrives."""

    version: int
    routes_by_host: dict[str, dict[str, Route]] = field(repr=False)
    services: dict[str, ServiceConfig] = field(repr=False)
    accounts_by_key: dict[str, AccountConfig] = field(repr=False)
    limits: CallerLimits
    keys_required: bool

    def find_route_names(self) -> set[str]:
        """Return the names of all routes."""
        return {route.name for routes in self.routes_by_host.values() for route in routes.values()}

    @property
    def route_count(self) -> int:
        return sum(len(routes) for routes in self.routes_by_host.values())

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of ``path``; prefixes end in ``/``."""
        routes = self.routes_by_host.get(host)
        if routes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def authenticate(self, key: str) -> AccountConfig | None:
        """Return the client account that holds a key."""
        return self.accounts_by_key.get(key)


def make_route_table(
    *,
    version: int,
    routes: Iterable[Route],
    services: Iterable[ServiceConfig],
    accounts: Iterable[AccountConfig] | None,
    limits: CallerLimits | None = None,
) -> RouteTable:
    """Make an indexed table; ``accounts`` is ``None`` where callers need no key."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    account_list = list(accounts or ())
    return RouteTable(
        version=version,
        routes_by_host=by_host,
        services={service.name: service for service in services},
        accounts_by_key={key: account for account in account_list for key in account.keys},
        limits=limits or CallerLimits(),
        keys_required=accounts is not None,
    )
