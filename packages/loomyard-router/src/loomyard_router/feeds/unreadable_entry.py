"""Why an entry of a feed can't be read."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

MOST_DETAIL = 200


class Unreadable(Enum):
    """What is wrong with an entry, as a label of a metric."""

    KEY = "key"
    SYNTAX = "syntax"
    FIELDS = "fields"


@frozen
class UnreadableEntry:
    """A reason and, for people, its detail."""

    reason: Unreadable
    detail: str


def make_unreadable(reason: Unreadable, detail: object) -> UnreadableEntry:
    """Make the word on an entry, its detail bounded: an entry may be as long as a store takes."""
    return UnreadableEntry(reason, str(detail)[:MOST_DETAIL])
