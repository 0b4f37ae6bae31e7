"""Which records a router retains when the store comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loomyard_router.feeds.keyed_record import KeyedRecord


class RollbackPolicy(Protocol):
    """Choose between a record known from before a rollback and the store's record after it.

    Neither is always right: the older copy lacks the last seconds of writes, and the router lacks
    what was written since. A known record is retained until its key is written again, or for as
    long as writers may take to do that.
    """

    def retains(self, known: KeyedRecord, stored: KeyedRecord | None, *, stale: bool) -> bool:
        """Tell whether a known record overrides the store's record of its key.

        The value of ``known`` is ``None`` where its key was deleted. ``stored`` is ``None`` where
        the key is missing from a listing. ``stale`` says that ``stored`` dates from before the
        rollback.
        """

    def retention_seconds(self, known: KeyedRecord) -> float:
        """Return how long a record is retained at most unless its key is written again."""


class PreferStore:
    """The policy that retains nothing."""

    def retains(self, known: KeyedRecord, stored: KeyedRecord | None, *, stale: bool) -> bool:
        return False

    def retention_seconds(self, known: KeyedRecord) -> float:
        return 0.0
