"""What is believed of a key when the store comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loomyard_router.feeds.keyed_record import KeyedRecord


class RollbackPolicy(Protocol):
    """Choose between what was believed before a loss and what the store says after it.

    Both are partly right: the copy lacks the last seconds, the router what came after. What was
    believed stands until it is written again, or for as long as that may take.
    """

    def retains(self, known: KeyedRecord, stored: KeyedRecord | None, *, stale: bool) -> bool:
        """Tell whether a belief stands against what the store says of its key.

        ``believed`` without a value says that the key was dropped. ``said`` is ``None`` where a
        listing lacks the key. ``copied`` tells that it is known from before the loss.
        """

    def retention_seconds(self, known: KeyedRecord) -> float:
        """Return how long a belief stands that is not written again."""


class StoreIsRight:
    """Believe the store alone."""

    def retains(self, known: KeyedRecord, stored: KeyedRecord | None, *, stale: bool) -> bool:
        return False

    def retention_seconds(self, known: KeyedRecord) -> float:
        return 0.0
