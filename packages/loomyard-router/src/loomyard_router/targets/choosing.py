"""Choose a target by prompt-prefix locality, bounded by load."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from loomyard import rendezvous
from loomyard.objects import Target

if TYPE_CHECKING:
    from collections.abc import Iterable

# A target is taken for its cache only while its part of free slots is at most this far below the
# freest candidate's, so that locality costs at most this much imbalance.
LOCALITY_MARGIN = 0.25


@frozen(kw_only=True)
class Candidate:
    """A target that may get the request; ``free`` of its ``slots`` are free."""

    target: Target
    free: int
    slots: int

    @property
    def free_part(self) -> float:
        return self.free / self.slots if self.slots > 0 else 0.0


class PrefixKnowledge(Protocol):
    """What choosing needs of the target directory."""

    def holds_prefix(self, name: str, prefix: str) -> bool:
        """Tell whether a target probably caches a prompt prefix."""


def choose(
    candidates: Iterable[Candidate],
    prefix: str,
    directory: PrefixKnowledge,
    *,
    margin: float = LOCALITY_MARGIN,
) -> Target | None:
    """Return the target for a request, ``None`` where no candidate has a free slot.

    Within the margin of the freest: a target that holds the prefix, then the first by rendezvous
    hash, so that routers that know nothing still send equal prefixes to equal targets.
    """
    free = [candidate for candidate in candidates if candidate.free > 0]
    if not free:
        return None
    if not prefix:
        return max(free, key=lambda c: c.free_part).target
    least = max(c.free_part for c in free) - margin
    near = [c for c in free if c.free_part >= least]
    holders = [c for c in near if directory.holds_prefix(c.target.metadata.name, prefix)]
    by_name = {c.target.metadata.name: c.target for c in holders or near}
    return by_name[rendezvous.choose(prefix, by_name)]
