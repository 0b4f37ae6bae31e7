"""Target choice by prompt-prefix locality, bounded by load."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from loomyard import rendezvous
from loomyard.objects import Target

if TYPE_CHECKING:
    from collections.abc import Iterable

# A target is preferred for its cache only while its fraction of free slots is at most this far
# below the freest candidate's, which bounds the load imbalance that locality causes.
LOCALITY_MARGIN = 0.25


@frozen(kw_only=True)
class Candidate:
    """A target that may get the request, with its free and total slots."""

    target: Target
    free: int
    slots: int

    @property
    def free_fraction(self) -> float:
        return self.free / self.slots if self.slots > 0 else 0.0


class PrefixLookup(Protocol):
    """The part of the target directory that the choice uses."""

    def holds_prefix(self, name: str, prefix: str) -> bool:
        """Return whether a target probably caches a prompt prefix."""


def choose(
    candidates: Iterable[Candidate],
    prefix: str,
    directory: PrefixLookup,
    *,
    margin: float = LOCALITY_MARGIN,
) -> Target | None:
    """Return the target for a request, ``None`` where no candidate has a free slot.

    Without a prefix, the one with the largest fraction of free slots. Otherwise one of those within
    ``margin`` of it, preferably one that caches the prefix; among several the rendezvous hash of
    the prefix decides, so that routers without cache information choose the same target.
    """
    free = [candidate for candidate in candidates if candidate.free > 0]
    if not free:
        return None
    if not prefix:
        return max(free, key=lambda c: c.free_fraction).target
    min_free = max(c.free_fraction for c in free) - margin
    near = [c for c in free if c.free_fraction >= min_free]
    holders = [c for c in near if directory.holds_prefix(c.target.metadata.name, prefix)]
    by_name = {c.target.metadata.name: c.target for c in holders or near}
    return by_name[rendezvous.choose(prefix, by_name)]
