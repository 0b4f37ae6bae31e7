"""The configuration state at one offset of the log."""

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
    """The result of a change in log order; ``REPEATED`` is for offsets already applied."""

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
    """The configuration in force: objects, versions, digest and index of bearer keys.

    ``version`` is the log offset of the last accepted change, ``applied`` that of the last record
    read. ``digest`` is the sum of the digests of all objects, so that equal states have equal
    digests and a change only needs the digests of its own objects. ``key_owners`` maps key digests
    to accounts. Immutable; its maps share unchanged entries with those of earlier states.
    """

    objects: Map[ObjectRef, VersionedObject] = field(factory=Map, converter=_as_map)
    version: int = EMPTY_VERSION
    applied: int = EMPTY_VERSION
    digest: int = 0
    key_owners: Map[str, ObjectRef] = field(factory=Map, converter=_as_map, eq=False, repr=False)

    def get(self, ref: ObjectRef) -> VersionedObject | None:
        """Return an object with its version, ``None`` if it does not exist."""
        return self.objects.get(ref)

    def advance(self, offset: int) -> ConfigState:
        """Return the state after a record that changes no objects."""
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
        removed_digests = [d for item in removed for d in _key_digests(item.object)]
        added_owners = {d: ref_of(item.object) for item in added for d in _key_digests(item.object)}
        if not removed_digests and not added_owners:
            return self.key_owners
        mutation = self.key_owners.mutate()
        for digest in removed_digests:
            mutation.pop(digest, None)
        mutation.update(added_owners)
        return mutation.finish()


def make_state(items: Iterable[VersionedObject], *, version: int, applied: int) -> ConfigState:
    """Make a state with digest and key index; raise ``ValueError`` on duplicate objects.

    The iterator ``items`` may yield to other tasks.
    """
    objects: MapMutation[ObjectRef, VersionedObject] = Map[ObjectRef, VersionedObject]().mutate()
    owners: MapMutation[str, ObjectRef] = Map[str, ObjectRef]().mutate()
    digest = 0
    for item in items:
        ref = ref_of(item.object)
        if ref in objects:
            raise ValueError(f"{ref} is defined twice")
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
