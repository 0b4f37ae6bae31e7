"""Assignment of targets to the routers that poll them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable


class PollAssignment:
    """Assigns each key to one live router by rendezvous hash, updated incrementally.

    A join costs two hashes for each key, a loss a new choice for the keys of the lost router
    only; rehashing 600 keys among 360 routers would block the event loop at each change.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._routers: set[str] = {own}
        self._owners: dict[str, str] = {}

    def set_keys(self, keys: Iterable[str]) -> None:
        """Replace the keys; those known before keep their router."""
        known = {key: self._owners.get(key) for key in keys}
        self._owners = {
            key: owner or rendezvous.choose(key, self._routers) for key, owner in known.items()
        }

    def set_routers(self, names: Iterable[str]) -> None:
        """Replace the live routers; this one is always included."""
        names = {*names, self._own}
        joined = names - self._routers
        lost = self._routers - names
        self._routers = names
        for key, owner in self._owners.items():
            if owner in lost:
                self._owners[key] = rendezvous.choose(key, names)
            elif joined:
                self._owners[key] = rendezvous.choose(key, {owner, *joined})

    def is_own(self, key: str) -> bool:
        """Return whether a key is assigned to this router."""
        return self._owners.get(key) == self._own
