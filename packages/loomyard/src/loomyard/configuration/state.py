"""The configuration at one point of the log."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from attrs import evolve, field, frozen
from immutables import Map

from loomyard.configuration.digest import DIGEST_MODULUS, object_digest
from loomyard.objects import ClientAccount, ConfigObject, ObjectRef, ref_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from immutables._protocols import MapMutation

EMPTY_VERSION = -1


def _as_map(items: Any) -> Any:
    return items if isinstance(items, Map) else Map(items)


class Verdict(Enum):
    """What the fold decided about a change."""

    ACCEPTED = "accepted"
    STALE = "stale"
    INVALID = "invalid"
    REPEATED = "repeated"


@frozen
class VersionedObject:
    """An object and the log offset of the change that wrote it."""

    object: ConfigObject
    version: int


@frozen
class ConfigState:
    """The objects in force.

    ``version`` is the offset of the last accepted change, ``applied`` of the last record read.
    ``digest`` is the sum of the digests of the objects, so that equal states have equal digests
    and a change costs only its own objects. ``key_owners`` maps key digests to accounts.
    Never changed in place; the maps share what did not change with those of earlier states.
    """

    objects: Map[ObjectRef, VersionedObject] = field(factory=Map, converter=_as_map)
    version: int = EMPTY_VERSION
    applied: int = EMPTY_VERSION
    digest: int = 0
    key_owners: Map[str, ObjectRef] = field(factory=Map, converter=_as_map, eq=False, repr=False)

    def get(self, ref: ObjectRef) -> VersionedObject | None:
        """Return the object of a reference."""
        return self.objects.get(ref)

    def advance(self, offset: int) -> ConfigState:
        """Return the same objects with a later record read."""
        return evolve(self, applied=offset)

    def replace(
        self, offset: int, puts: Iterable[ConfigObject], deletions: Iterable[ObjectRef]
    ) -> ConfigState:
        """Return the state after an accepted change at a log offset."""
        refs = list(deletions)
        removed = [self.objects[ref] for ref in refs]
        added = {ref_of(item): VersionedObject(item, offset) for item in puts}
        removed += [self.objects[ref] for ref in added if ref in self.objects]
        mutation = self.objects.mutate()
        for ref in refs:
            del mutation[ref]
        mutation.update(added)
        return ConfigState(
            objects=mutation.finish(),
            version=offset,
            applied=offset,
            digest=self._next_digest(removed, added.values()),
            key_owners=self._next_key_owners(removed, added.values()),
        )

    def _next_digest(
        self, removed: Iterable[VersionedObject], added: Iterable[VersionedObject]
    ) -> int:
        change = sum(object_digest(item.object, item.version) for item in added)
        change -= sum(object_digest(item.object, item.version) for item in removed)
        return (self.digest + change) % DIGEST_MODULUS

    def _next_key_owners(
        self, removed: Iterable[VersionedObject], added: Iterable[VersionedObject]
    ) -> Map[str, ObjectRef]:
        gone = [d for item in removed for d in _key_digests(item.object)]
        come = {d: ref_of(item.object) for item in added for d in _key_digests(item.object)}
        if not gone and not come:
            return self.key_owners
        mutation = self.key_owners.mutate()
        for digest in gone:
            mutation.pop(digest, None)
        mutation.update(come)
        return mutation.finish()


def make_state(items: Iterable[VersionedObject], *, version: int, applied: int) -> ConfigState:
    """Make a state of objects, with its digest and its index; ``items`` may let tasks run."""
    objects: MapMutation[ObjectRef, VersionedObject] = Map[ObjectRef, VersionedObject]().mutate()
    owners: MapMutation[str, ObjectRef] = Map[str, ObjectRef]().mutate()
    digest = 0
    for item in items:
        ref = ref_of(item.object)
        if ref in objects:
            raise ValueError(f"{ref} stands twice")
        objects[ref] = item
        owners.update({key: ref for key in _key_digests(item.object)})
        digest += object_digest(item.object, item.version)
    return ConfigState(
        objects=objects.finish(),
        version=version,
        applied=applied,
        digest=digest % DIGEST_MODULUS,
        key_owners=owners.finish(),
    )


def _key_digests(item: ConfigObject) -> list[str]:
    return item.key_digests if isinstance(item, ClientAccount) else []
