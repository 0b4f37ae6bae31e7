"""Why an entry of a feed can't be read."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

# An entry may be as long as the store accepts, and the error text with it.
MAX_DETAIL_CHARS = 200


class UnreadableReason(Enum):
    """What is wrong with an entry; the value is a label of a metric."""

    KEY = "key"
    SYNTAX = "syntax"
    FIELDS = "fields"


@frozen
class UnreadableEntry:
    """A reason and its detail for the log."""

    reason: UnreadableReason
    detail: str


def make_unreadable_entry(reason: UnreadableReason, detail: object) -> UnreadableEntry:
    """Make an ``UnreadableEntry`` whose detail has at most ``MAX_DETAIL_CHARS`` characters."""
    return UnreadableEntry(reason, str(detail)[:MAX_DETAIL_CHARS])
