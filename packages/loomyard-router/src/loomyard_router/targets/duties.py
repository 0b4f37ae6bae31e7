"""Which targets this router polls for the whole fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable


class Duties:
    """One live router for each key, by rendezvous hash, kept up to date by differences.

    A join costs two hashes for each key, a loss a new choice for the keys of the lost router
    only; choosing anew for 600 keys among 360 routers would hold the loop up at each change.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._names: set[str] = {own}
        self._owners: dict[str, str] = {}

    def set_keys(self, keys: Iterable[str]) -> None:
        """Take the keys over."""
        kept = {key: self._owners.get(key) for key in keys}
        self._owners = {
            key: owner or rendezvous.choose(key, self._names) for key, owner in kept.items()
        }

    def set_names(self, names: Iterable[str]) -> None:
        """Take the live routers over; this one always counts."""
        names = {*names, self._own}
        joined = names - self._names
        lost = self._names - names
        self._names = names
        for key, owner in self._owners.items():
            if owner in lost:
                self._owners[key] = rendezvous.choose(key, names)
            elif joined:
                self._owners[key] = rendezvous.choose(key, {owner, *joined})

    def is_mine(self, key: str) -> bool:
        """Tell whether a key is this router's."""
        return self._owners.get(key) == self._own
