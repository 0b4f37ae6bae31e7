"""A change of the configuration, as a log record."""

from __future__ import annotations

from attrs import field, frozen

from loomyard.objects import ConfigObject, ObjectRef

ABSENT = -1


@frozen(kw_only=True)
class Put:
    """Create or replace an object; ``based_on`` is the version replaced or ``ABSENT``."""

    object: ConfigObject
    based_on: int = ABSENT


@frozen(kw_only=True)
class Deletion:
    """Delete an object; ``based_on`` is the version deleted."""

    ref: ObjectRef
    based_on: int


@frozen(kw_only=True)
class Change:
    """Puts and deletions that are accepted or rejected together.

    ``change_id`` is unique, so that a lost append answer is settled by reading.
    """

    change_id: str
    author: str = ""
    puts: list[Put] = field(factory=list)
    deletions: list[Deletion] = field(factory=list)
