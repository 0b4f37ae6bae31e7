"""The configuration at one point of the log."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import evolve, field, frozen

from loomyard.configuration.digest import DIGEST_MODULUS, object_digest
from loomyard.objects import ClientAccount, ConfigObject, ObjectRef, ref_of

if TYPE_CHECKING:
    from collections.abc import Iterable

EMPTY_VERSION = -1


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
    Never changed in place.
    """

    objects: dict[ObjectRef, VersionedObject] = field(factory=dict)
    version: int = EMPTY_VERSION
    applied: int = EMPTY_VERSION
    digest: int = 0
    key_owners: dict[str, ObjectRef] = field(factory=dict, eq=False, repr=False)

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
        objects = dict(self.objects)
        removed = [objects.pop(ref) for ref in deletions]
        added = [VersionedObject(item, offset) for item in puts]
        for versioned in added:
            ref = ref_of(versioned.object)
            if ref in objects:
                removed.append(objects[ref])
            objects[ref] = versioned
        return ConfigState(
            objects=objects,
            version=offset,
            applied=offset,
            digest=self._next_digest(removed, added),
            key_owners=self._next_key_owners(removed, added),
        )

    def _next_digest(self, removed: list[VersionedObject], added: list[VersionedObject]) -> int:
        change = sum(object_digest(item.object, item.version) for item in added)
        change -= sum(object_digest(item.object, item.version) for item in removed)
        return (self.digest + change) % DIGEST_MODULUS

    def _next_key_owners(
        self, removed: list[VersionedObject], added: list[VersionedObject]
    ) -> dict[str, ObjectRef]:
        gone = [d for item in removed for d in _key_digests(item.object)]
        come = {d: ref_of(item.object) for item in added for d in _key_digests(item.object)}
        if not gone and not come:
            return self.key_owners
        owners = dict(self.key_owners)
        for digest in gone:
            owners.pop(digest, None)
        owners.update(come)
        return owners


def make_state(objects: Iterable[VersionedObject], *, version: int, applied: int) -> ConfigState:
    """Make a state of objects, with its digest and its index."""
    kept = {ref_of(item.object): item for item in objects}
    digest = sum(object_digest(item.object, item.version) for item in kept.values())
    owners = {d: ref for ref, item in kept.items() for d in _key_digests(item.object)}
    return ConfigState(kept, version, applied, digest % DIGEST_MODULUS, owners)


def _key_digests(item: ConfigObject) -> list[str]:
    return item.key_digests if isinstance(item, ClientAccount) else []
