"""What must hold for targets that say of themselves that they leave or want rest."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from loomyard_standins.programs.promise import Breach, Promise

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# A target that leaves gets no new work two seconds after a router knew.
LEAVING_SECONDS = 2.0
# What was on its way when a target asked for rest; a busy machine holds it up.
ON_ITS_WAY_SECONDS = 1.0
MOST_IN_REST = 2


class SaidByTargets:
    """Judge what reaches targets by what they told each router.

    ``may_have_forgotten`` tells whether a router stood still or started since a time; such a one is
    excused.
    """

    def __init__(self, may_have_forgotten: Callable[[str, float], bool]) -> None:
        self._may_have_forgotten = may_have_forgotten
        # When a router passed on first that a target leaves, and when targets turned routers away.
        self._passed: dict[tuple[str, str], float] = {}
        self._turned_away: defaultdict[tuple[str, str], list[float]] = defaultdict(list)

    @property
    def passed_leaving(self) -> int:
        """Return how often a router came to know from an answer that a target leaves."""
        return len(self._passed)

    @property
    def turned_away(self) -> int:
        """Return how many requests reached targets that turned them away and asked for rest."""
        return sum(map(len, self._turned_away.values()))

    def forget(self, target: str) -> None:
        """Forget what an earlier life of a target said."""
        for known in [known for known in self._passed if known[1] == target]:
            del self._passed[known]

    def note_leaving(self, router: str, target: str, at: float) -> None:
        """Take in that a router passed on an answer by which a target says that it leaves."""
        self._passed.setdefault((router, target), at)

    def take_run(
        self, router: str, target: str, attempt_id: str, sent_at: float
    ) -> Iterator[Breach]:
        """Judge a run by what its router had passed on, also where the store is struck."""
        passed = self._passed.get((router, target))
        if passed is None or self._may_have_forgotten(router, passed):
            return
        after = sent_at - passed
        if after > LEAVING_SECONDS:
            detail = f"{attempt_id} ran at {target} though {router} knew {after:.2f} s earlier"
            yield Breach(Promise.LEAVING, detail)

    def take_turned_away(
        self, router: str, target: str, at: float, *, rest: float
    ) -> Iterator[Breach]:
        """Judge a request that reached a target by the rest that it had asked for."""
        times = self._turned_away[router, target]
        times.append(at)
        asked = next((earlier for earlier in times if at < earlier + rest), at)
        late = sum(time > asked + ON_ITS_WAY_SECONDS for time in times)
        if late > MOST_IN_REST and not self._may_have_forgotten(router, asked):
            detail = f"{target} asked {router} for rest and got {late} requests in it"
            yield Breach(Promise.REST, detail)
