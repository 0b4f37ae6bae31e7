"""What each client account got over the whole fleet, and whether that is beyond its share."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import gevent
from attrs import frozen
from result import Ok

from loomyard_router.admission.account_usage import AccountUsage
from loomyard_router.admission.fair_share import find_water_level
from loomyard_router.admission.gap_bound import GapBound, NoGapBound
from loomyard_router.admission.share_messages import NO_SHARE, ShareWord, UsageReport
from loomyard_router.admission.share_tree import find_parent

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

# A sixteenth of the users' share window of 4 s: a burst is known everywhere after two or three.
REPORT_SECONDS = 0.25
REPLY_SECONDS = 0.2
# Four reports that did not come: their router is cut off, or reports elsewhere.
STALE_SECONDS = 1.0
# A word that is older says nothing of a burst that has begun meanwhile.
STALE_WORD_SECONDS = 2.0
# Who asks beyond its share is among those that ask most; the others need not be named.
MOST_ACCOUNTS = 64
# Less than this above a share may be the lag of reports: 0.75 s of a burst in a window of 4 s.
FAR_BEYOND = 1.2


@frozen
class _Heard:
    report: UsageReport
    at: float


class ShareLedger:
    """Sum up over the fleet what accounts ask and get; judge each by its max-min share.

    Routers report up a tree of two levels and hear back the share and the sums of their accounts.
    Reports carry whole sums of a decaying window, so a lost one, or a new router at the top, is
    made good by the next. A router that hears nothing takes nobody for beyond its share.

    ``window`` is in seconds; ``rate`` gives the tokens a second to be shared, 0 where the
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
        source: random.Random,
        bound: GapBound | None = None,
    ) -> None:
        self._clock = clock
        self._bound = bound or NoGapBound()
        self._members = members
        self._peers = peers
        self._window = window
        self._rate = rate
        self._random = source
        self._asked = AccountUsage(clock, window)
        self._given = AccountUsage(clock, window)
        # What was given after the last report, which the word from above does not count yet.
        self._since = AccountUsage(clock, window)
        self._heard: dict[str, _Heard] = {}
        self._word = ShareWord()
        self._word_at = -math.inf
        self._parent: str | None = None
        self._task: gevent.Greenlet | None = None
        peers.handle(UsageReport, self.take_report)
        members.subscribe(self._move)
        self._move()

    def start(self) -> None:
        """Start to report."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.kill(block=False)

    def ask(self, account: str, cost: float) -> None:
        """Count work that an account wants, whether it gets it or not; in tokens."""
        self._asked.add(account, cost)

    def give(self, account: str, cost: float) -> None:
        """Count work that an account gets, in tokens."""
        self._given.add(account, cost)
        self._since.add(account, cost)

    def take_back(self, account: str, cost: float) -> None:
        """Count work no more that an account did not get, as nothing ran."""
        self._given.add(account, -cost)
        self._since.add(account, -cost)

    def usage(self, account: str) -> float:
        """Return what an account got lately in the whole fleet, in tokens."""
        if self._stale:
            return self._given.level(account)
        told = self._word.given.get(account, 0) * self._decay(self._word_at)
        return max(self._given.level(account), told + self._since.level(account))

    def share_used(self, account: str) -> float | None:
        """Return what an account got lately in parts of its share; ``None`` where none is known."""
        if self._stale or self._word.share == NO_SHARE:
            return None
        return self.usage(account) / max(1, self._word.share)

    def beyond(self, account: str) -> bool:
        """Tell whether an account has had its share."""
        used = self.share_used(account)
        return used is not None and used > 1.0

    def is_far_over_share(self, account: str) -> bool:
        """Tell whether an account got so much that it may have only what nobody waits for.

        That is measured by what engines do in fact. Where they do twice the stated rate, many
        accounts are beyond their share of that, and these too must get about the same.
        """
        if self._stale or self._word.reached == NO_SHARE:
            return False
        return self.usage(account) > FAR_BEYOND * self._word.reached

    def exceeds_usage_cap(self, account: str) -> bool:
        """Tell whether an account got so much more than another one that waits that it pauses."""
        if self._stale or self._word.most == NO_SHARE:
            return False
        return self.usage(account) > self._word.most

    def take_report(self, member: Member, report: UsageReport) -> ShareWord:
        """Take in the sums of another router; answer with what is known here."""
        self._heard[member.name] = _Heard(report, self._clock.now())
        if self._stale:
            return ShareWord()
        decay = self._decay(self._word_at)
        share = math.inf if self._word.share == NO_SHARE else self._word.share
        told = {name: round(cost * decay) for name, cost in self._word.given.items()}
        # Who is beyond its share is told to all: its next request may come to any router.
        given = {name: cost for name, cost in told.items() if name in report.asked or cost > share}
        return ShareWord(
            share=self._word.share,
            reached=self._word.reached,
            most=self._word.most,
            given=given,
        )

    def step(self) -> None:
        """Report upwards and take the word from there; at the top judge."""
        report = self._sum_up()
        reported, self._since = self._since, AccountUsage(self._clock, self._window)
        word = self._judge(report) if self._parent is None else self._report(self._parent, report)
        if word is None:
            for account, cost in reported.levels().items():
                self._since.add(account, cost)
            return
        self._word = word
        self._word_at = self._clock.now()

    @property
    def _stale(self) -> bool:
        return self._clock.now() - self._word_at > STALE_WORD_SECONDS

    def _decay(self, since: float) -> float:
        return math.exp(-max(0.0, self._clock.now() - since) / self._window)

    def _sum_up(self) -> UsageReport:
        asked, given = Counter(self._asked.levels()), Counter(self._given.levels())
        oldest = self._clock.now() - STALE_SECONDS
        live = {member.name for member in self._members.live()}
        summed = False
        for name, heard in list(self._heard.items()):
            if heard.at < oldest or name not in live:
                del self._heard[name]
            elif self._parent is None or not heard.report.summed:
                # In the middle only what others saw themselves counts: while views differ, two
                # routers may report to each other.
                summed = True
                decay = self._decay(heard.at)
                for sums, told in ((asked, heard.report.asked), (given, heard.report.given)):
                    sums.update({account: cost * decay for account, cost in told.items()})
        most = len(asked) if self._parent is None else MOST_ACCOUNTS
        named = [account for account, _ in asked.most_common(most)]
        return UsageReport(
            asked={account: round(asked[account]) for account in named},
            given={account: round(given[account]) for account in named if account in given},
            summed=summed,
        )

    def _judge(self, report: UsageReport) -> ShareWord:
        capacity = self._rate() * self._window
        if not capacity:
            return ShareWord(given=report.given)
        done = max(capacity, sum(report.given.values()))
        reached = find_water_level(report.asked, done)
        return ShareWord(
            share=round(find_water_level(report.asked, capacity)),
            reached=round(reached),
            most=self._bound.find_most(report.asked, report.given, reached),
            given=report.given,
        )

    def _report(self, parent: str, report: UsageReport) -> ShareWord | None:
        match self._peers.request(parent, report, self._clock.now() + REPLY_SECONDS):
            case Ok(ShareWord() as word):
                return word
        return None

    def _move(self) -> None:
        names = [member.name for member in self._members.live()]
        self._parent = find_parent(self._members.own.name, names)

    def _run(self) -> None:
        while True:
            self._clock.sleep(REPORT_SECONDS * self._random.uniform(0.8, 1.2))
            self.step()
