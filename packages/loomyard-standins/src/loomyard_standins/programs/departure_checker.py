"""Check that targets whose entries say that they leave get no new requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_standins.programs.invariant import Invariant, Violation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# From the time at which the store accepted the entry to the last request that may begin.
DRAIN_SECONDS = 2.0


class DepartureChecker:
    """Compare the begin of each run with the time at which the store accepted the departure.

    ``may_have_missed(component, since)`` returns whether a component was cut off or restarted since
    that time. A router that stood still is bound like any other.
    """

    def __init__(self, may_have_missed: Callable[[str, float], bool]) -> None:
        self._may_have_missed = may_have_missed
        # Targets whose entries that they leave were sent to the store, and when it accepted them.
        self._announced: set[str] = set()
        self._accepted_at: dict[str, float] = {}

    def record_announcement(self, target: str) -> None:
        """Record that the next entry of a target says that it leaves."""
        self._announced.add(target)

    def record_ack(self, key: str, at: float) -> None:
        """Record when the store accepted an entry."""
        if key in self._announced:
            self._accepted_at.setdefault(key, at)

    def forget_target(self, target: str) -> None:
        """Drop the departure of an earlier incarnation of a target."""
        self._announced.discard(target)
        self._accepted_at.pop(target, None)

    def check_run(
        self, target: str, attempt_id: str, at: float, *components: str
    ) -> Iterator[Violation]:
        """Check a run in which these components took part besides the target."""
        accepted_at = self._accepted_at.get(target)
        if accepted_at is None or at <= accepted_at + DRAIN_SECONDS:
            return
        if any(self._may_have_missed(one, accepted_at) for one in (target, *components)):
            return
        after = f"{at - accepted_at:.2f} s after the store accepted that it leaves"
        detail = f"{attempt_id} ran at {target}, {after}"
        yield Violation(Invariant.DRAINED, detail)
