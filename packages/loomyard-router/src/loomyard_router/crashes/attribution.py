"""Attribution of crashes to the suspects that explain them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.announced.target_incarnation import TargetLife
from loomyard_router.crashes.suspect import is_part

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Set


# Crashes after which a request is blocked. A crash breaks all requests at its target, so one
# implicates innocent requests too, and two may be chance where targets crash every few seconds.
# Users accept three, and three more sends.
BLOCKING_COUNT = 3
# The same for a part of prompts, whose block concerns more callers. Users accept five.
PART_BLOCKING_COUNT = 4
# The same for a part on which an answer was completed after a crash: it may crash targets only
# since a change of theirs.
PROVEN_BLOCKING_COUNT = 5
# Crashes that a part must share with another one to explain them as well.
TIED_COUNT = 3
# Crashes that only one part explains, which make it the cause; one may have another cause.
DECISIVE_COUNT = 2


@frozen(kw_only=True)
class PartGroup:
    """Parts blamed for the same crashes, of which it is not known yet which one causes them."""

    parts: frozenset[str]

    @property
    def is_decided(self) -> bool:
        return len(self.parts) == 1


@frozen(kw_only=True)
class Attribution:
    """The suspects identified as poison, and the incarnations whose crashes they explain.

    ``tied`` are the requests among them that share crashes with another one of as many: it may be
    that only one of them is poison.
    """

    poison: frozenset[str] = frozenset()
    tied: frozenset[str] = frozenset()
    crashes: frozenset[TargetLife] = frozenset()
    groups: tuple[PartGroup, ...] = ()


def attribute_crashes(
    crashes: Mapping[str, frozenset[TargetLife]], proven: Set[str] = frozenset()
) -> Attribution:
    """Identify poison greedily, most unexplained crashes first; tied requests go together.

    ``crashes`` maps suspects to the incarnations that crashed under them, ``proven`` are the parts
    on which answers were completed between crashes; these explain only what no other suspect does.
    Of a request and a part at as many crashes the request is identified, since its block concerns
    one caller alone.
    """
    poison: set[str] = set()
    tied: set[str] = set()
    explained: set[TargetLife] = set()
    groups: list[PartGroup] = []
    requested = frozenset[TargetLife]().union(
        *(ended for one, ended in crashes.items() if not is_part(one))
    )
    while True:
        left = {one: ended - explained for one, ended in crashes.items() if one not in poison}
        found = _find_most(left, [one for one in left if one not in proven])
        if not found or not is_part(found[0]):
            others = _find_most(left, [one for one in left if one in proven], proven=True)
            # Requests with a proven part may be tried so often that each looks like poison.
            if others and (not found or len(left[others[0]] - requested) >= DECISIVE_COUNT):
                found = others
        if not found:
            return Attribution(
                poison=frozenset(poison),
                tied=frozenset(tied),
                crashes=frozenset(explained),
                groups=tuple(groups),
            )
        requests = [one for one in found if not is_part(one)]
        if not requests:
            top = min(found)
            may_tie = {
                one: ended for one, ended in crashes.items() if top in proven or one not in proven
            }
            group = _make_group(top, left[top], may_tie)
            groups.append(group)
            found = list(group.parts)
        poison.update(requests or found)
        tied.update(_find_tied({one: left[one] for one in requests}))
        explained.update(*(crashes[one] for one in requests or found))


def _find_most(
    left: Mapping[str, frozenset[TargetLife]], suspects: Iterable[str], *, proven: bool = False
) -> list[str]:
    """Return the suspects at the most unexplained crashes, if these are enough for a block."""
    counts = {
        one: len(left[one]) for one in suspects if len(left[one]) >= blocking_count(one, proven)
    }
    highest = max(counts.values(), default=0)
    return [one for one, count in counts.items() if count == highest]


def blocking_count(suspect: str, proven: bool) -> int:
    """Return the crashes after which a suspect is blocked."""
    if not is_part(suspect):
        return BLOCKING_COUNT
    return PROVEN_BLOCKING_COUNT if proven else PART_BLOCKING_COUNT


def _find_tied(unexplained: Mapping[str, frozenset[TargetLife]]) -> set[str]:
    """Return the requests that share crashes with another one."""
    counts = Counter(incarnation for ended in unexplained.values() for incarnation in ended)
    return {one for one, ended in unexplained.items() if any(counts[life] > 1 for life in ended)}


def _make_group(
    top: str, unexplained: frozenset[TargetLife], crashes: Mapping[str, frozenset[TargetLife]]
) -> PartGroup:
    """Return a part, with all that may be the cause in its place, alone or together.

    A part that many requests share is at the crashes that several poison parts cause.
    """
    tied = {
        one: ended & unexplained
        for one, ended in crashes.items()
        if one != top and is_part(one) and len(ended & unexplained) >= TIED_COUNT
    }
    only_top = unexplained.difference(*tied.values())
    if len(only_top) >= DECISIVE_COUNT:
        return PartGroup(parts=frozenset([top]))
    return PartGroup(parts=frozenset([top, *tied]))
