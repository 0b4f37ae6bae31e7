"""Usage reports that this router received from those below it in the share tree."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from loomyard.clock import Clock
from loomyard_router.admission.share_messages import UsageReport

if TYPE_CHECKING:
    from collections.abc import Callable

# After four missed reports: that router is cut off, or reports to another one.
REPORT_EXPIRY_SECONDS = 1.0


@frozen
class _ReceivedReport:
    report: UsageReport
    at: float


@define(eq=False)
class ReceivedReports:
    """The latest report of each router, until it expires."""

    clock: Clock
    _received: dict[str, _ReceivedReport] = field(factory=dict)

    @property
    def routers(self) -> int:
        """Return how many routers the reports sum up."""
        return sum(received.report.routers for received in self._received.values())

    @property
    def oldest_seconds(self) -> float:
        """Return the age of the oldest report, 0 without any."""
        oldest = min((received.at for received in self._received.values()), default=None)
        return 0.0 if oldest is None else self.clock.now() - oldest

    def store(self, sender: str, report: UsageReport) -> None:
        """Replace the report of a router."""
        self._received[sender] = _ReceivedReport(report, self.clock.now())

    def drop_unless(self, is_kept: Callable[[str], bool]) -> None:
        """Drop expired reports and those of routers for which ``is_kept`` is false."""
        oldest = self.clock.now() - REPORT_EXPIRY_SECONDS
        self._received = {
            sender: received
            for sender, received in self._received.items()
            if received.at >= oldest and is_kept(sender)
        }

    def sum_up(self, read: Callable[[UsageReport], dict[str, int]], window: float) -> Counter[str]:
        """Return the sum of a field of all reports by account, decayed since they came."""
        total: Counter[str] = Counter()
        for received in self._received.values():
            decay = math.exp(-max(0.0, self.clock.now() - received.at) / window)
            total.update({name: cost * decay for name, cost in read(received.report).items()})
        return total
