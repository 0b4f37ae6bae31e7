"""Usage reports that this router received from those below it in the share tree."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from loomyard.clock import Clock
from loomyard_router.admission.share_messages import OwnUsage, UsageReport

if TYPE_CHECKING:
    from collections.abc import Callable

# After four missed reports: that router lags, is cut off, or reports to another one.
REPORT_EXPIRY_SECONDS = 1.0

Sums = UsageReport | OwnUsage


@frozen
class _Received:
    sums: Sums
    at: float


@define(eq=False)
class ReceivedReports:
    """The latest report of each router, and what silent ones told of themselves.

    A router that lags is silent while its callers go on waiting, so it stays in the sums with its
    own part until it reports again, reports to another router, or is dropped. The part that others
    had reported to it is left out, since these report to another router meanwhile. ``window`` is
    that of the usage, in seconds.
    """

    clock: Clock
    window: float
    _reports: dict[str, _Received] = field(factory=dict)
    _own: dict[str, _Received] = field(factory=dict)
    _silent: dict[str, _Received] = field(factory=dict)

    @property
    def routers(self) -> int:
        """Return how many routers the recent reports sum up."""
        reports = (received.sums for received in self._reports.values())
        return sum(one.routers for one in reports if isinstance(one, UsageReport))

    @property
    def silent(self) -> int:
        """Return how many routers are in the sums with what they told a while ago."""
        return len(self._silent)

    @property
    def oldest_seconds(self) -> float:
        """Return the age of the oldest report, 0 without any."""
        everything = [*self._reports.values(), *self._silent.values()]
        oldest = min((received.at for received in everything), default=None)
        return 0.0 if oldest is None else self.clock.now() - oldest

    def store(self, sender: str, report: UsageReport) -> None:
        """Replace the report of a router."""
        self._reports[sender] = _Received(report, self.clock.now())
        self._silent.pop(sender, None)

    def store_own(self, sender: str, own: OwnUsage) -> None:
        """Replace the part of a router's reports that it measured itself."""
        self._own[sender] = _Received(own, self.clock.now())

    def forget(self, sender: str) -> None:
        """Drop what a router told, as it reports to another one."""
        for received in (self._reports, self._own, self._silent):
            received.pop(sender, None)

    def expire(self) -> None:
        """Keep only the own part of routers that are silent."""
        oldest = self.clock.now() - REPORT_EXPIRY_SECONDS
        for sender, received in list(self._reports.items()):
            if received.at >= oldest:
                continue
            del self._reports[sender]
            own = self._own.pop(sender, None)
            if isinstance(received.sums, UsageReport) and received.sums.routers == 1:
                own = received
            if own is not None:
                self._silent[sender] = own

    def drop_unless(self, is_kept: Callable[[str], bool]) -> None:
        """Drop what routers told for which ``is_kept`` is false."""
        senders = self._reports.keys() | self._own.keys() | self._silent.keys()
        for sender in senders:
            if not is_kept(sender):
                self.forget(sender)

    def sum_up(self, read: Callable[[Sums], dict[str, int]], window: float) -> Counter[str]:
        """Return the sum of a field of all reports by account, decayed since they came.

        ``window`` is that of the field, in seconds. The fields of a silent router decay together,
        or an account with demand would soon seem to lack nothing.
        """
        total: Counter[str] = Counter()
        now = self.clock.now()
        for received in self._reports.values():
            _add(total, read(received.sums), math.exp(-max(0.0, now - received.at) / window))
        for received in self._silent.values():
            decay = math.exp(-max(0.0, now - received.at) / self.window)
            _add(total, read(received.sums), decay)
        return total


def _add(total: Counter[str], tokens: dict[str, int], decay: float) -> None:
    total.update({name: cost * decay for name, cost in tokens.items()})
