"""Which targets serve a client account's call of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.configuration.state import EMPTY_VERSION
from loomyard.errors import Fault, ResultCode
from loomyard.objects import ClientAccount, ObjectRef, Route, Service, Target

if TYPE_CHECKING:
    from collections.abc import Iterator

    from loomyard.configuration import ConfigState


class Routing:
    """Look-ups over one configuration, made once for it."""

    def __init__(self, state: ConfigState) -> None:
        self._state = state
        objects = [versioned.object for versioned in state.objects.values()]
        self.accounts = {o.metadata.name: o for o in objects if isinstance(o, ClientAccount)}
        self.services = {o.metadata.name: o for o in objects if isinstance(o, Service)}
        self.targets = {o.metadata.name: o for o in objects if isinstance(o, Target)}
        self._account_by_digest = {
            digest: account for account in self.accounts.values() for digest in account.key_digests
        }
        routes = [o for o in objects if isinstance(o, Route)]
        self._routes = sorted(routes, key=lambda r: (-r.priority, r.metadata.name))
        self._resolved: dict[tuple[str, str], Route | None] = {}

    @property
    def version(self) -> int:
        return self._state.version

    def target_version(self, name: str) -> int:
        """Return the log offset of the change that wrote a target; ``-1`` where there is none."""
        found = self._state.get(ObjectRef(Target.__name__, name))
        return EMPTY_VERSION if found is None else found.version

    def find_account(self, digest: str) -> ClientAccount | None:
        """Return the account with a key of this digest."""
        return self._account_by_digest.get(digest)

    def find_route(self, account: ClientAccount, service: str) -> Route | None:
        """Return the route that counts for an account and a service."""
        key = (account.metadata.name, service)
        if key not in self._resolved:
            self._resolved[key] = next(self._matching(account, service), None)
        return self._resolved[key]

    def resolve(self, account: ClientAccount, service: str) -> Result[tuple[Target, ...], Fault]:
        """Return the targets for an account's call, also those that may only load the service.

        Errors: ``UNKNOWN_SERVICE``, ``NO_ROUTE``, ``NO_TARGET``.
        """
        if service not in self.services:
            return Err(Fault(code=ResultCode.UNKNOWN_SERVICE, detail=f"no service {service!r}"))
        route = self.find_route(account, service)
        if route is None:
            detail = f"no route lets this account use {service!r}"
            return Err(Fault(code=ResultCode.NO_ROUTE, detail=detail))
        selector = route.target_selector
        found = tuple(
            target
            for target in self.targets.values()
            if service in (*target.services, *target.loadable)
            and selector.matches(target.metadata.labels)
        )
        if not found:
            detail = f"route {route.metadata.name!r} selects no target"
            return Err(Fault(code=ResultCode.NO_TARGET, detail=detail))
        return Ok(found)

    def _matching(self, account: ClientAccount, service: str) -> Iterator[Route]:
        labels = account.metadata.labels
        for route in self._routes:
            if route.service == service and route.account_selector.matches(labels):
                yield route
