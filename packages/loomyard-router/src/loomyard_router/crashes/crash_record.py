"""The record of the targets that crashed under one suspect."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import evolve, field, frozen

from loomyard_router.announced.target_incarnation import TargetLife

# Less than any incarnation, so that it wins when records are merged.
NOT_BLAMED = TargetLife("")


@frozen(kw_only=True)
class CrashRecord:
    """The target incarnations that crashed under a suspect, by the rank of the attempt.

    ``suspect`` is the fingerprint of a request, or the name of a part of prompts.

    The rank of an attempt is one more than the highest its router knew at its start, so concurrent
    copies of a request share a rank: targets that crash under them together count once. Crashes up
    to the rank ``cleared`` don't count, as the request completed afterwards. Nor do crashes
    attributed to another suspect; their incarnation is replaced by ``NOT_BLAMED``.

    ``until`` is the monotonic time at which the record expires.
    """

    suspect: str
    until: float
    cleared: int = 0
    crashes: Mapping[int, TargetLife] = field(factory=dict)

    @property
    def incarnations(self) -> frozenset[TargetLife]:
        """Return the incarnations whose crashes count against the request."""
        return frozenset(one for one in self.crashes.values() if one != NOT_BLAMED)

    @property
    def highest_rank(self) -> int:
        """Return the highest known rank."""
        return max(self.crashes, default=self.cleared)

    def merged(self, other: CrashRecord) -> CrashRecord:
        """Return the merged record; merging is commutative, associative and idempotent."""
        cleared = max(self.cleared, other.cleared)
        crashes: dict[int, TargetLife] = {}
        for rank in sorted({*self.crashes, *other.crashes}):
            if rank > cleared:
                incarnations = [one.crashes[rank] for one in (self, other) if rank in one.crashes]
                crashes[rank] = min(incarnations)
        return CrashRecord(
            suspect=self.suspect,
            until=max(self.until, other.until),
            cleared=cleared,
            crashes=crashes,
        )

    def without(self, incarnations: frozenset[TargetLife]) -> CrashRecord:
        """Return the record without the crashes of some incarnations."""
        crashes = {
            rank: NOT_BLAMED if incarnation in incarnations else incarnation
            for rank, incarnation in self.crashes.items()
        }
        return evolve(self, crashes=crashes)

    def has_same_content(self, other: CrashRecord) -> bool:
        """Return whether two records are equal apart from their expiry."""
        return (self.cleared, self.crashes) == (other.cleared, other.crashes)
