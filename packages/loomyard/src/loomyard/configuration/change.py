"""A change of the configuration, as recorded in the log."""

from __future__ import annotations

from attrs import field, frozen

from loomyard.objects import ConfigObject, ObjectRef

ABSENT = -1


@frozen(kw_only=True)
class Put:
    """A put that creates or replaces an object.

    ``based_on`` is the version that is replaced, ``ABSENT`` for a new object.
    """

    object: ConfigObject
    based_on: int = ABSENT


@frozen(kw_only=True)
class Deletion:
    """A deletion of an object at version ``based_on``."""

    ref: ObjectRef
    based_on: int


@frozen(kw_only=True)
class Change:
    """Puts and deletions that are accepted or rejected atomically.

    ``change_id`` is unique: after an append without an answer the record is searched by it.
    """

    change_id: str
    author: str = ""
    puts: list[Put] = field(factory=list)
    deletions: list[Deletion] = field(factory=list)
