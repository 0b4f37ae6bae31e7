"""Resolution of a client account and a service to a route and its targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from immutables import Map
from result import Err, Ok, Result

from loomyard.configuration.state import EMPTY_VERSION
from loomyard.errors import Fault, ResultCode
from loomyard.objects import ClientAccount, ConfigObject, ObjectRef, Route, Service, Target
from loomyard.selectors import Selector, parse_selector

if TYPE_CHECKING:
    from collections.abc import Iterable

    from immutables._protocols import MapMutation

    from loomyard.configuration import ConfigState

MAX_CACHED_ROUTES = 20_000


@frozen
class _ParsedRoute:
    route: Route
    accounts: Selector
    targets: Selector


class Routing:
    """Indices and cached look-ups over one version of the configuration.

    With ``predecessor`` and ``changed``, the references that differ from it, only these are indexed
    anew and the rest is shared. If ``changed`` is ``None``, everything is indexed anew.
    """

    def __init__(
        self,
        state: ConfigState,
        predecessor: Routing | None = None,
        changed: Iterable[ObjectRef] | None = None,
    ) -> None:
        self._state = state
        self.accounts: Map[str, ClientAccount] = Map()
        self.services: Map[str, Service] = Map()
        self.targets: Map[str, Target] = Map()
        self._parsed: Map[str, _ParsedRoute] = Map()
        self._changed: frozenset[ObjectRef] | None = None
        self._changed_since = EMPTY_VERSION
        if predecessor is None or changed is None:
            self._update(state.objects)
        else:
            self._changed = frozenset(changed)
            self._changed_since = predecessor.version
            self._copy_indices(predecessor)
            self._update(self._changed)
        self._routes = self._order_routes()
        self._account_routes: dict[tuple[str, str], _ParsedRoute | None] = {}
        self._route_targets: dict[str, tuple[Target, ...]] = {}

    @property
    def version(self) -> int:
        return self._state.version

    def changes_since(self, version: int) -> frozenset[ObjectRef] | None:
        """Return the references that changed since an earlier version, ``None`` if not known."""
        return self._changed if version == self._changed_since else None

    def target_version(self, name: str) -> int:
        """Return the log offset of the change that wrote a target, ``-1`` if it does not exist."""
        found = self._state.get(ObjectRef(Target.__name__, name))
        return EMPTY_VERSION if found is None else found.version

    def find_account(self, digest: str) -> ClientAccount | None:
        """Return the account that owns the bearer key with this digest."""
        owner = self._state.key_owners.get(digest)
        return None if owner is None else self.accounts.get(owner.name)

    def find_route(self, account: ClientAccount, service: str) -> Route | None:
        """Return the matching route of the highest priority for an account and a service."""
        found = self._find_parsed_route(account, service)
        return None if found is None else found.route

    def resolve(self, account: ClientAccount, service: str) -> Result[tuple[Target, ...], Fault]:
        """Return the targets for an account's calls, including those that can load the service.

        Errors: ``UNKNOWN_SERVICE``, ``NO_ROUTE``, ``NO_TARGET``.
        """
        if service not in self.services:
            return Err(Fault(code=ResultCode.UNKNOWN_SERVICE, detail=f"no service {service!r}"))
        found = self._find_parsed_route(account, service)
        if found is None:
            detail = f"no route lets this account use {service!r}"
            return Err(Fault(code=ResultCode.NO_ROUTE, detail=detail))
        targets = self._targets_of(found)
        if not targets:
            detail = f"route {found.route.metadata.name!r} selects no target"
            return Err(Fault(code=ResultCode.NO_TARGET, detail=detail))
        return Ok(targets)

    def _find_parsed_route(self, account: ClientAccount, service: str) -> _ParsedRoute | None:
        key = (account.metadata.name, service)
        if key not in self._account_routes:
            if len(self._account_routes) >= MAX_CACHED_ROUTES:
                self._account_routes.clear()
            self._account_routes[key] = self._match(account, service)
        return self._account_routes[key]

    def _match(self, account: ClientAccount, service: str) -> _ParsedRoute | None:
        labels = account.metadata.labels
        candidates = self._routes.get(service, ())
        return next((parsed for parsed in candidates if parsed.accounts.matches(labels)), None)

    def _targets_of(self, parsed: _ParsedRoute) -> tuple[Target, ...]:
        name = parsed.route.metadata.name
        if name not in self._route_targets:
            self._route_targets[name] = tuple(
                target
                for _, target in sorted(self.targets.items())
                if parsed.route.service in (*target.services, *target.loadable)
                and parsed.targets.matches(target.metadata.labels)
            )
        return self._route_targets[name]

    def _copy_indices(self, predecessor: Routing) -> None:
        for name in _INDICES.values():
            setattr(self, name, getattr(predecessor, name))

    def _update(self, refs: Iterable[ObjectRef]) -> None:
        by_index: dict[str, list[ObjectRef]] = {}
        for ref in refs:
            by_index.setdefault(_INDICES[ref.kind], []).append(ref)
        for name, changed in by_index.items():
            mutation = getattr(self, name).mutate()
            for ref in changed:
                self._update_one(mutation, ref)
            setattr(self, name, mutation.finish())

    def _update_one(self, mutation: MapMutation, ref: ObjectRef) -> None:
        versioned = self._state.objects.get(ref)
        if versioned is None:
            mutation.pop(ref.name, None)
        else:
            mutation[ref.name] = _index_entry(versioned.object)

    def _order_routes(self) -> dict[str, list[_ParsedRoute]]:
        ordered = sorted(
            self._parsed.values(), key=lambda p: (-p.route.priority, p.route.metadata.name)
        )
        by_service: dict[str, list[_ParsedRoute]] = {}
        for parsed in ordered:
            by_service.setdefault(parsed.route.service, []).append(parsed)
        return by_service


_INDICES = {
    ClientAccount.__name__: "accounts",
    Service.__name__: "services",
    Target.__name__: "targets",
    Route.__name__: "_parsed",
}


def _index_entry(item: ConfigObject) -> ConfigObject | _ParsedRoute:
    if not isinstance(item, Route):
        return item
    accounts = parse_selector(item.accounts).unwrap()
    return _ParsedRoute(item, accounts, parse_selector(item.targets).unwrap())
