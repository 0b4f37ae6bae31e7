"""Why an entry of a feed can't be read."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

MAX_DETAIL_CHARS = 200


class UnreadableReason(Enum):
    """What is wrong with an entry, as a label of a metric."""

    KEY = "key"
    SYNTAX = "syntax"
    FIELDS = "fields"


@frozen
class UnreadableEntry:
    """A reason and, for people, its detail."""

    reason: UnreadableReason
    detail: str


def make_unreadable_entry(reason: UnreadableReason, detail: object) -> UnreadableEntry:
    """Make the word on an entry, its detail bounded: an entry may be as long as a store takes."""
    return UnreadableEntry(reason, str(detail)[:MAX_DETAIL_CHARS])
