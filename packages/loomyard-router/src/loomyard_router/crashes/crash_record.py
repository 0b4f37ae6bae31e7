"""What is known of the ends of targets under one request."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import evolve, field, frozen

from loomyard_router.announced.target_incarnation import TargetIncarnation

# Less than any name, so that it holds where records are joined.
NOBODYS = TargetIncarnation("")


@frozen(kw_only=True)
class CrashRecord:
    """The lives of targets that ended under a request, by the rank of the send.

    The rank of a send is one more than the highest that its router knew, so copies of a request
    that ran at the same time share a rank: many targets that fail together count once. Ends up to
    the rank ``cleared`` say nothing, since the request ran to its end afterwards; nor does an end
    that was found to be another request's, whose life is ``NOBODYS``.

    ``until`` is the monotonic time at which the record is forgotten.
    """

    fingerprint: str
    until: float
    cleared: int = 0
    ends: Mapping[int, TargetIncarnation] = field(factory=dict)

    @property
    def lives(self) -> frozenset[TargetIncarnation]:
        """Return the lives whose ends are blamed on the request."""
        return frozenset(life for life in self.ends.values() if life != NOBODYS)

    @property
    def highest(self) -> int:
        """Return the highest rank that is known."""
        return max(self.ends, default=self.cleared)

    def joined(self, other: CrashRecord) -> CrashRecord:
        """Return what both records say; the same in any order and however often."""
        cleared = max(self.cleared, other.cleared)
        ends: dict[int, TargetIncarnation] = {}
        for rank in sorted({*self.ends, *other.ends}):
            if rank > cleared:
                lives = [one.ends[rank] for one in (self, other) if rank in one.ends]
                ends[rank] = min(lives)
        return CrashRecord(
            fingerprint=self.fingerprint,
            until=max(self.until, other.until),
            cleared=cleared,
            ends=ends,
        )

    def without(self, lives: frozenset[TargetIncarnation]) -> CrashRecord:
        """Return the record in which some ends are not blamed on the request."""
        ends = {rank: NOBODYS if life in lives else life for rank, life in self.ends.items()}
        return evolve(self, ends=ends)

    def says_as_much(self, other: CrashRecord) -> bool:
        """Tell whether two records say the same, whenever they end."""
        return (self.cleared, self.ends) == (other.cleared, other.ends)
