"""Shares of client accounts from the sums of the fleet, at the root of the share tree."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.admission.decaying_maximum import DecayingMaximum
from loomyard_router.admission.fair_share import find_max_min_share
from loomyard_router.admission.gap_bound import (
    TARGET_RATIO,
    GapBound,
    RoomForLeastServed,
    find_starved,
)
from loomyard_router.admission.share_messages import NO_SHARE, UsageReply, UsageReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.admission.received_reports import ReceivedReports

logger = logging.getLogger(__name__)

# Unmet demand counts for about this time, so that a cap ends soon after the lack of room does.
UNMET_SECONDS = 1.0
# An account is backlogged if engines have no room for this fraction of what they serve it.
UNMET_RATIO = 0.25
# How long the most that engines served counts. Engines that are lost are noticed within this time.
CAPACITY_SECONDS = 10.0
LOG_SECONDS = 1.0
MAX_ACCOUNTS_LOGGED = 12
MILLISECONDS = 1000


class ShareCalculator:
    """Compute the max-min shares and the usage cap.

    ``window`` is in seconds; ``rate`` returns the stated tokens a second, 0 where the configuration
    states none. Then no shares are known, and only the cap bounds an account.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        window: float,
        rate: Callable[[], float],
        bound: GapBound | None = None,
    ) -> None:
        self._clock = clock
        self._window = window
        self._rate = rate
        self._bound = bound or RoomForLeastServed()
        self._most_served = DecayingMaximum(CAPACITY_SECONDS)
        self._logged_at = -math.inf

    def compute(self, report: UsageReport, reports: ReceivedReports | None = None) -> UsageReply:
        """Return the shares that follow from the sums of all routers.

        ``reports`` are what the sums are of, for the log.
        """
        stated = self._rate() * self._window
        usage = sum(report.usage.values())
        self._most_served.add(usage, self._clock.now())
        backlogged = self._find_backlogged(report)
        served_share = find_max_min_share(report.demand, max(stated, usage))
        observed = self._observe_capacity(report, backlogged)
        cap = self._bound.find_cap(
            report.demand,
            report.usage,
            served_share if observed is None else self._find_observed_share(report, observed),
            backlogged,
        )
        reply = UsageReply(
            share=round(find_max_min_share(report.demand, stated)) if stated else NO_SHARE,
            served_share=round(served_share) if stated else NO_SHARE,
            usage_cap=cap,
            usage=report.usage,
        )
        if backlogged:
            self._log(report, reply, stated, observed, reports)
        return reply

    def _observe_capacity(self, report: UsageReport, backlogged: list[str]) -> float | None:
        """Return what engines can serve, ``None`` where that is not observed.

        While they have no room for an account that gets less than others, they serve all they can,
        whatever rate is stated. A cap may idle some of them, so that what they serve falls; the
        most that they lately served does not follow it down.
        """
        if not find_starved(report.demand, report.usage, backlogged):
            return None
        return self._most_served.value(self._clock.now())

    def _find_observed_share(self, report: UsageReport, observed: float) -> float:
        """Return the max-min share of what engines can serve, by what accounts can use of it.

        An account may request more than its router can send. So each counts with room for
        ``TARGET_RATIO`` times its usage: room beyond that would idle engines.
        """
        usable = {
            account: min(demand, TARGET_RATIO * report.usage.get(account, 0))
            for account, demand in report.demand.items()
        }
        return find_max_min_share(usable, observed)

    def _find_backlogged(self, report: UsageReport) -> list[str]:
        ratio = UNMET_RATIO * UNMET_SECONDS / self._window
        return [
            account
            for account, tokens in report.unmet.items()
            if tokens > ratio * report.usage.get(account, 0)
        ]

    def _log(
        self,
        report: UsageReport,
        reply: UsageReply,
        stated: float,
        observed: float | None,
        reports: ReceivedReports | None,
    ) -> None:
        """Log the sums behind the shares, at most once in ``LOG_SECONDS``."""
        now = self._clock.now()
        if now - self._logged_at < LOG_SECONDS:
            return
        self._logged_at = now
        largest = sorted(report.demand, key=lambda name: report.demand[name], reverse=True)
        emit(
            logger,
            Event.SHARES_COMPUTED,
            window=self._window,
            stated=round(stated),
            observed=None if observed is None else round(observed),
            usage=sum(report.usage.values()),
            share=reply.share,
            served_share=reply.served_share,
            cap=reply.usage_cap,
            routers=report.routers,
            silent=0 if reports is None else reports.silent,
            oldest_ms=0 if reports is None else round(reports.oldest_seconds * MILLISECONDS),
            accounts={
                name: [report.demand[name], report.usage.get(name, 0), report.unmet.get(name, 0)]
                for name in largest[:MAX_ACCOUNTS_LOGGED]
            },
        )
