"""Why an entry of a feed can't be read."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any, TypeVar

from attrs import frozen
from result import Err, Result

from loomyard_router.supervision.failures import record_failure

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

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


def decode_entry(
    decode: Callable[..., Result[T, UnreadableEntry]], *arguments: Any
) -> Result[T, UnreadableEntry]:
    """Decode an entry; one on which the decoder itself fails is unreadable too."""
    try:
        return decode(*arguments)
    except Exception as error:  # the other entries of the feed are to be read
        record_failure("decoding", error)
        return Err(make_unreadable_entry(UnreadableReason.FIELDS, repr(error)))
