"""Check that routers heed the notices in the answers of targets: leaving and back-off."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from loomyard_standins.programs.invariant import Invariant, Violation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# From the answer with the notice to the last request that the router may send to the target.
LEAVING_SECONDS = 2.0
# Requests in flight when the target asked for back-off may still arrive for so long; a busy host
# delays them.
IN_FLIGHT_SECONDS = 1.0
MAX_DURING_BACKOFF = 2


class TargetNoticeChecker:
    """Check the requests that reach a target against the notices it sent to each router.

    ``may_have_lost_state(router, since)`` returns whether the router was paused or restarted since
    that time; it may have lost the notices then and is not checked.
    """

    def __init__(self, may_have_lost_state: Callable[[str, float], bool]) -> None:
        self._may_have_lost_state = may_have_lost_state
        # By router and target: first forwarded notice of leaving, and all refusals with back-off.
        self._forwarded_at: dict[tuple[str, str], float] = {}
        self._refused_at: defaultdict[tuple[str, str], list[float]] = defaultdict(list)

    @property
    def forwarded_notices(self) -> int:
        """Return the number of pairs of router and target with a notice of leaving."""
        return len(self._forwarded_at)

    @property
    def refused_with_backoff(self) -> int:
        """Return the number of requests that targets refused with a request to back off."""
        return sum(map(len, self._refused_at.values()))

    def forget_target(self, target: str) -> None:
        """Drop the notices of an earlier incarnation of a target."""
        for pair in [pair for pair in self._forwarded_at if pair[1] == target]:
            del self._forwarded_at[pair]

    def record_leaving(self, router: str, target: str, at: float) -> None:
        """Record that a router forwarded an answer with which a target announces that it leaves."""
        self._forwarded_at.setdefault((router, target), at)

    def check_run(
        self, router: str, target: str, attempt_id: str, sent_at: float
    ) -> Iterator[Violation]:
        """Check a run against the notices that its router forwarded, also during store faults."""
        forwarded_at = self._forwarded_at.get((router, target))
        if forwarded_at is None or self._may_have_lost_state(router, forwarded_at):
            return
        after = sent_at - forwarded_at
        if after > LEAVING_SECONDS:
            detail = (
                f"{attempt_id} ran at {target}, {after:.2f} s after {router} forwarded its leaving"
            )
            yield Violation(Invariant.LEAVING, detail)

    def check_refusal(
        self, router: str, target: str, at: float, *, backoff: float
    ) -> Iterator[Violation]:
        """Check a refused request against the back-off, in seconds, that the target asked for."""
        times = self._refused_at[router, target]
        times.append(at)
        asked_at = next((earlier for earlier in times if at < earlier + backoff), at)
        late = sum(time > asked_at + IN_FLIGHT_SECONDS for time in times)
        if late > MAX_DURING_BACKOFF and not self._may_have_lost_state(router, asked_at):
            detail = f"{target} asked {router} to back off and got {late} requests more"
            yield Violation(Invariant.REST, detail)
