"""Slots of targets, and the targets that each account may use, by short identifiers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard.objects import ClientAccount
from loomyard_router.shares.short_ids import short_id
from loomyard_router.targets.choosing import Candidate

if TYPE_CHECKING:
    from loomyard.objects import Target
    from loomyard.routing import Routing
    from loomyard_router.targets.directory import TargetDirectory


class Capacity:
    """Look-ups over one configuration and the current state of its targets."""

    def __init__(self, directory: TargetDirectory) -> None:
        self._directory = directory
        self._routing: Routing | None = None
        self._targets: dict[bytes, Target] = {}
        self._services: dict[bytes, str] = {}
        self._accounts: dict[bytes, ClientAccount] = {}
        self._allowed: dict[tuple[bytes, bytes], tuple[bytes, ...]] = {}

    @property
    def target_count(self) -> int:
        return len(self._targets)

    def reconfigure(self, routing: Routing) -> None:
        """Apply a configuration."""
        before, self._routing = self._routing, routing
        self._targets = {short_id(name): target for name, target in routing.targets.items()}
        self._services = {short_id(name): name for name in routing.services}
        self._accounts = self._update_accounts(routing, before)
        self._allowed.clear()

    def _update_accounts(
        self, routing: Routing, before: Routing | None
    ) -> dict[bytes, ClientAccount]:
        changed = None if before is None else routing.changes_since(before.version)
        if changed is None:
            return {short_id(name): account for name, account in routing.accounts.items()}
        for ref in changed:
            if ref.kind != ClientAccount.__name__:
                continue
            if ref.name in routing.accounts:
                self._accounts[short_id(ref.name)] = routing.accounts[ref.name]
            else:
                self._accounts.pop(short_id(ref.name), None)
        return self._accounts

    def slots(self) -> dict[bytes, int]:
        """Return the slots of each target that accepts work."""
        usable = self._directory.may_send
        return {
            key: self._directory.slots(target)
            for key, target in self._targets.items()
            if usable(target.metadata.name)
        }

    def usable(self, target: bytes, service: str) -> bool:
        """Return whether a target accepts new work for a service."""
        found = self._targets.get(target)
        return found is not None and self._directory.may_send(found.metadata.name, service)

    def services(self, target: bytes) -> list[bytes]:
        """Return the services of a target; of an engine with loadable models, those loaded now."""
        found = self._targets.get(target)
        if found is None:
            return []
        names = [short_id(name) for name in (*found.services, *found.loadable)]
        return [service for service in names if self._has_loaded(target, service)]

    def targets(self, account: bytes, service: bytes) -> tuple[bytes, ...]:
        """Return the targets that an account may use for a service now."""
        key = account, service
        if key not in self._allowed:
            self._allowed[key] = self._resolve(account, service)
        return tuple(t for t in self._allowed[key] if self._has_loaded(t, service))

    def candidate(self, target: bytes, free: int) -> Candidate:
        """Return a candidate for target selection with ``free`` slots."""
        found = self._targets[target]
        return Candidate(target=found, free=free, slots=self._directory.slots(found))

    def _has_loaded(self, target: bytes, service: bytes) -> bool:
        found = self._targets[target]
        if not found.loadable:
            return True
        name = self._services.get(service, "")
        return bool(name) and self._directory.may_send(found.metadata.name, name)

    def _resolve(self, account: bytes, service: bytes) -> tuple[bytes, ...]:
        found = self._accounts.get(account)
        name = self._services.get(service)
        if self._routing is None or found is None or name is None:
            return ()
        targets = self._routing.resolve(found, name).unwrap_or(())
        return tuple(short_id(target.metadata.name) for target in targets)
