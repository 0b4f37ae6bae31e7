"""The configuration at one point of the log."""

from __future__ import annotations

from enum import Enum

from attrs import evolve, field, frozen

from loomyard.objects import ConfigObject, ObjectRef

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
    Never changed in place.
    """

    objects: dict[ObjectRef, VersionedObject] = field(factory=dict)
    version: int = EMPTY_VERSION
    applied: int = EMPTY_VERSION

    def get(self, ref: ObjectRef) -> VersionedObject | None:
        """Return the object of a reference."""
        return self.objects.get(ref)

    def advance(self, offset: int) -> ConfigState:
        """Return the same objects with a later record read."""
        return evolve(self, applied=offset)
