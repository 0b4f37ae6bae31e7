"""Usage of client accounts over the whole fleet, compared with their shares."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from loomyard_router.admission.account_usage import AccountUsage
from loomyard_router.admission.received_reports import ReceivedReports
from loomyard_router.admission.report_parent import ReportParent
from loomyard_router.admission.report_sender import ReportSender
from loomyard_router.admission.share_calculator import UNMET_SECONDS, ShareCalculator
from loomyard_router.admission.share_messages import (
    NO_SHARE,
    OwnUsage,
    ReportsMoved,
    UsageReply,
    UsageReport,
    make_own_usage,
)
from loomyard_router.admission.share_metrics import ShareMetrics
from loomyard_router.admission.usage_growth import UsageGrowth
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    import gevent

    from loomyard.clock import Clock
    from loomyard_router.admission.gap_bound import GapBound
    from loomyard_router.lag.lagging_routers import RouterFitness
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

# A sixteenth of the share window of 4 s: a burst is known everywhere after two or three reports.
REPORT_SECONDS = 0.25
# An older reply says nothing of a burst that has begun since.
REPLY_EXPIRY_SECONDS = 2.0
# An account over its share is among those with the largest demand, so the others need no entry.
MAX_ACCOUNTS = 64
# Weight of the latest request in the mean cost of an account.
MEAN_COST_WEIGHT = 1 / 8
# A usage below this multiple of the share may be due to the delay of reports: 0.75 s of a burst in
# a window of 4 s.
FAR_OVER_RATIO = 1.2


class ShareLedger:
    """Sum up demand and usage of accounts over the fleet, and compute their max-min share.

    Routers report up a tree of two levels; the replies carry the share and the fleet's usage of
    the accounts reported. Reports carry whole decaying sums, so the next one makes up for a lost
    report or a new root. A parent that does not reply is replaced before membership declares it
    dead. Without recent replies a router takes no account to be over its share.

    ``window`` is in seconds; ``rate`` returns the tokens a second to be shared, 0 where the
    configuration states none.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        members: Membership,
        peers: PeerLinks,
        window: float,
        rate: Callable[[], float],
        rng: random.Random,
        bound: GapBound | None = None,
        fitness: RouterFitness | None = None,
    ) -> None:
        self._clock = clock
        self._calculator = ShareCalculator(clock=clock, window=window, rate=rate, bound=bound)
        self._members = members
        self._peers = peers
        self._window = window
        self._rng = rng
        self._demand = AccountUsage(clock, window)
        self._usage = AccountUsage(clock, window)
        # Usage since the last report, which the last reply does not include.
        self._unreported = AccountUsage(clock, window)
        self._unmet = AccountUsage(clock, UNMET_SECONDS)
        self._growth = UsageGrowth(window)
        self._mean_costs: dict[str, float] = {}
        self._reports = ReceivedReports(clock, window)
        self._reply = UsageReply()
        self._reply_at = -math.inf
        self._parent = ReportParent(clock, members, fitness)
        self._sender = ReportSender(clock=clock, members=members, peers=peers, parent=self._parent)
        self._task: gevent.Greenlet | None = None
        peers.handle(UsageReport, self.handle_report)
        peers.handle(OwnUsage, self.handle_own)
        peers.handle(ReportsMoved, self.handle_moved)

    @property
    def metrics(self) -> ShareMetrics:
        """Return the callables that are read when metrics are scraped."""
        return ShareMetrics(
            demand=self._demand.all_tokens,
            usage=self._usage.all_tokens,
            unmet=self._unmet.all_tokens,
            shares=lambda: {} if self._is_stale else self._reply.known(),
        )

    def start(self) -> None:
        """Start to report periodically."""
        self._task = start_supervised("share reports", self._clock, self._run)

    def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.kill(block=False)

    def record_demand(self, account: str, cost: float) -> None:
        """Count work that an account asks for, granted or not; in tokens."""
        self._demand.add(account, cost)
        self._unmet.add(account, cost)
        mean = self._mean_costs.get(account, cost)
        self._mean_costs[account] = mean + MEAN_COST_WEIGHT * (cost - mean)

    def record_unread_demand(self, account: str, *, lacks_room: bool) -> None:
        """Count a request that was refused before its prompt was read, at the account's mean cost.

        ``lacks_room`` tells that engines have too little room for the account.
        """
        cost = self._mean_costs.get(account, 0.0)
        self._demand.add(account, cost)
        if lacks_room:
            self._unmet.add(account, cost)

    def record_usage(self, account: str, cost: float) -> None:
        """Count work that an account is granted, in tokens."""
        self._usage.add(account, cost)
        self._unmet.add(account, -cost)
        self._unreported.add(account, cost)

    def exclude_unmet(self, account: str, cost: float) -> None:
        """Leave out demand that engines did not refuse from what they lack room for, in tokens."""
        self._unmet.add(account, -cost)

    def refund(self, account: str, cost: float) -> None:
        """Take back the usage of a request that did not run, in tokens."""
        self._usage.add(account, -cost)
        self._unmet.add(account, cost)
        self._unreported.add(account, -cost)

    def usage(self, account: str) -> float:
        """Return the recent usage of an account in the whole fleet, in tokens.

        What other routers granted since they reported is estimated.
        """
        if self._is_stale:
            return self._usage.tokens(account)
        replied = self._reply.usage.get(account, 0) * self._decay(self._reply_at, self._window)
        known = max(self._usage.tokens(account), replied + self._unreported.tokens(account))
        age = self._clock.now() - self._reply_at + self._parent.levels * REPORT_SECONDS
        return known + age * self._growth.per_second(account)

    def share_used(self, account: str) -> float | None:
        """Return the usage of an account as a multiple of its share, ``None`` where not known."""
        if self._is_stale or self._reply.share == NO_SHARE:
            return None
        return self.usage(account) / max(1, self._reply.share)

    def is_over_share(self, account: str) -> bool:
        """Tell whether an account is over its share of the stated rate."""
        used = self.share_used(account)
        return used is not None and used > 1.0

    def is_far_over_share(self, account: str) -> bool:
        """Tell whether an account may get only capacity that no other request waits for.

        The usage is compared with the share of the tokens that engines serve in fact. Where these
        are twice the stated rate, many accounts are over their shares of the stated rate, and they
        still have to get about the same as each other.
        """
        if self._is_stale or self._reply.served_share == NO_SHARE:
            return False
        return self.usage(account) > FAR_OVER_RATIO * self._reply.served_share

    @property
    def has_usage_cap(self) -> bool:
        """Tell whether a cap is in force."""
        return not self._is_stale and self._reply.usage_cap != NO_SHARE

    def exceeds_usage_cap(self, account: str) -> bool:
        """Tell whether an account is over the cap set for a backlogged one with less usage."""
        return self.has_usage_cap and self.usage(account) > self._reply.usage_cap

    def handle_report(self, member: Member, report: UsageReport) -> UsageReply:
        """Store the sums of another router and reply with what is known here."""
        self._reports.store(member.name, report)
        # What goes to a router of higher rank may have come from there, unless it is computed here.
        if self._is_stale or not (self._is_root or self._parent.is_above(member.name)):
            return UsageReply()
        decay = self._decay(self._reply_at, self._window)
        limits = [self._reply.share, self._reply.usage_cap]
        limit = min((one for one in limits if one != NO_SHARE), default=math.inf)
        known = {name: round(cost * decay) for name, cost in self._reply.usage.items()}
        # All routers get the accounts over their shares or the cap: their next request may come to
        # any router.
        usage = {
            name: cost for name, cost in known.items() if name in report.demand or cost > limit
        }
        return UsageReply(
            share=self._reply.share,
            served_share=self._reply.served_share,
            usage_cap=self._reply.usage_cap,
            usage=usage,
        )

    def handle_own(self, member: Member, own: OwnUsage) -> None:
        """Store the part of another router's sums that counts on if it falls silent."""
        self._reports.store_own(member.name, own)

    def handle_moved(self, member: Member, _: ReportsMoved) -> None:
        """Drop the sums of a router that reports to another one."""
        self._reports.forget(member.name)

    def step(self) -> None:
        """Report to the parent and store its reply; at the root compute the shares."""
        self._parent.refresh()
        report = self._aggregate()
        reported, self._unreported = self._unreported, AccountUsage(self._clock, self._window)
        if self._is_root:
            self._sender.leave_all()
            reply: UsageReply | None = self._calculator.compute(report, self._reports)
        else:
            reply = self._sender.send(report, self._own_usage() if report.routers > 1 else None)
        if reply is None:
            for account, cost in reported.all_tokens().items():
                self._unreported.add(account, cost)
            return
        self._store_reply(reply)

    @property
    def _is_root(self) -> bool:
        return self._parent.is_root_with(1 + self._reports.routers)

    @property
    def _is_stale(self) -> bool:
        return self._clock.now() - self._reply_at > REPLY_EXPIRY_SECONDS

    def _decay(self, since: float, window: float) -> float:
        return math.exp(-max(0.0, self._clock.now() - since) / window)

    def _aggregate(self) -> UsageReport:
        self._drop_reports()
        reports = self._reports
        own = self._own_usage()
        demand, usage, unmet = Counter(own.demand), Counter(own.usage), Counter(own.unmet)
        self._mean_costs = {name: cost for name, cost in self._mean_costs.items() if name in demand}
        demand.update(reports.sum_up(lambda one: one.demand, self._window))
        usage.update(reports.sum_up(lambda one: one.usage, self._window))
        unmet.update(reports.sum_up(lambda one: one.unmet, UNMET_SECONDS))
        limit = len(demand) if self._parent.name is None else MAX_ACCOUNTS
        named = [account for account, _ in demand.most_common(limit)]
        return UsageReport(
            demand={account: round(demand[account]) for account in named},
            usage={account: round(usage[account]) for account in named if account in usage},
            routers=1 + reports.routers,
            unmet={account: round(unmet[account]) for account in named if unmet[account] >= 1},
        )

    def _own_usage(self) -> OwnUsage:
        return make_own_usage(
            self._demand.all_tokens(), self._usage.all_tokens(), self._unmet.all_tokens()
        )

    def _store_reply(self, reply: UsageReply) -> None:
        self._reply = reply
        self._reply_at = self._clock.now()
        elsewhere = {
            account: max(0.0, tokens - self._usage.tokens(account))
            for account, tokens in reply.usage.items()
        }
        self._growth.record(elsewhere, self._reply_at)

    def _drop_reports(self) -> None:
        """Drop reports of dead routers, and those that may include the own one."""
        self._reports.expire()
        live = {member.name for member in self._members.live()}
        self._reports.drop_unless(live.__contains__)
        if not self._is_root:
            # While the routers' views of the members differ, two of them may report to each other.
            # Of these the lower one leaves out the report of the other.
            self._reports.drop_unless(self._parent.is_above)

    def _run(self) -> None:
        while True:
            self._clock.sleep(REPORT_SECONDS * self._rng.uniform(0.8, 1.2))
            self.step()
