"""Report to the allocator, on change and within the budget, and take its replies in."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loomyard_router.shares.lease_terms import report_gap, urgent_gap
from loomyard_router.shares.messages import UNKNOWN_LEVEL, AccountReport, ShareReport, Waiting
from loomyard_router.shares.share_session import ShareSession
from loomyard_router.shares.short_ids import short_id
from loomyard_router.shares.told_levels import ToldLevels

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.members.membership import Membership
    from loomyard_router.shares.account_levels import AccountLevels
    from loomyard_router.shares.held_slots import HeldSlots
    from loomyard_router.shares.messages import ShareReply
    from loomyard_router.shares.overdue import Overdue
    from loomyard_router.shares.pacing import Pacer
    from loomyard_router.shares.request_queues import RequestQueues

# Where service moved by more than this part of the margin, the least gap is enough.
MUCH_PART = 0.5
LEAST_GAP = 0.15
# An unanswered first report is repeated after this time.
OPENING_GAP = 0.25
# Without an answer for this long, or for this part of the lease, the allocator may be gone.
SUSPICION_TIMEOUT = 1.0
SUSPICION_PART = 0.75
RENEWALS_PER_LEASE = 3
MOST_WAITING_REPORTED = 32
# Service that moved by less than this part of the margin is not reported.
REPORTED_PART = 0.125
KNOWN_SINCE_BEFORE = 0


class Reporter:
    """The side of a router in the exchange with the allocator."""

    def __init__(
        self,
        *,
        members: Membership,
        find_allocator: Callable[[Membership], str],
        send: Callable[[str, ShareReport], int],
        pacer: Pacer,
        queues: RequestQueues,
        levels: AccountLevels,
        held: HeldSlots,
        overdue: Overdue,
    ) -> None:
        self._members = members
        self._find_allocator = find_allocator
        self._send = send
        self._pacer = pacer
        self._queues = queues
        self._levels = levels
        self._held = held
        self._overdue = overdue
        self._session = ShareSession(1)
        self._allocator = ""
        self._members_changed = True
        self._sent_at = float("-inf")
        self._unanswered_since: float | None = None
        self._lease = 0.0
        self._asked: Counter[tuple[bytes, bytes]] = Counter()
        self._granted = 0
        self.urgent = False
        self.told = ToldLevels()
        members.subscribe(self._note_members)

    def may_send(self, now: float) -> bool:
        """Tell whether a report may go now."""
        return self._session.opened and (self._reports_to_itself or self._pacer.allows(now))

    def note_waiting(self, account: bytes, service: bytes, count: int) -> None:
        """Report at once where many more requests wait than the allocator knows."""
        known = max(0, self._asked[account, service] - self._granted)
        if known < MOST_WAITING_REPORTED and count >= max(1, 2 * known):
            self.urgent = True

    def poll(self, now: float) -> None:
        """Send a report where one is due."""
        if self._members_changed:
            self._choose_allocator()
        if self._lease and not self._held.valid(now):
            self._held.lapse()
            self.told.clear()
            self._lease = 0.0
            self.begin_session()
        if self._due(now) and (self._reports_to_itself or self._pacer.allows(now)):
            self._report(now)

    def begin_session(self) -> None:
        """Start over: the next report says everything."""
        self._session = ShareSession(self._session.number + 1)
        self._asked.clear()
        self._sent_at = float("-inf")
        self._unanswered_since = None

    def is_session(self, number: int) -> bool:
        """Tell whether a session is the current one."""
        return number == self._session.number

    def accept(self, reply: ShareReply, now: float) -> bool:
        """Take in a reply; false where it is late or doubled."""
        deadline = self._session.accept(reply)
        if deadline is None:
            return False
        self._unanswered_since = None
        self._lease = reply.lease_ms / 1000
        self._held.lease_until = max(self._held.lease_until, deadline)
        self.told.accept(reply, now)
        self._levels.tell(reply.offsets)
        for target, limit in reply.limits.items():
            self._granted += max(0, limit - self._held.limit(target))
            self._held.set_limit(target, limit)
        return True

    @property
    def _reports_to_itself(self) -> bool:
        return self._allocator == self._members.own.name

    def _note_members(self) -> None:
        self._members_changed = True

    def _choose_allocator(self) -> None:
        self._members_changed = False
        allocator = self._find_allocator(self._members)
        if allocator != self._allocator:
            self._allocator = allocator
            self.begin_session()

    def _due(self, now: float) -> bool:
        since = now - self._sent_at
        if not self._session.opened:
            return since >= OPENING_GAP
        if self.urgent and since >= urgent_gap(self._lease):
            return True
        if since >= self._lease / RENEWALS_PER_LEASE:
            return True
        if since < max(LEAST_GAP, urgent_gap(self._lease)):
            return False
        return self._changed(now, much=since < report_gap(self._lease))

    def _changed(self, now: float, *, much: bool) -> bool:
        """Tell whether something changed, or changed so ``much``, that it is worth a report."""
        session = self._session
        for account, report in self._accounts(now).items():
            told = session.accounts.get(account)
            if told is None:
                return True
            if abs(told.service - report.service) > MUCH_PART * self.told.margin:
                return True
            if much:
                continue
            if told.service != report.service or told.running != report.running:
                return True
            if told.waiting.keys() != report.waiting.keys():
                return True
        if much:
            return False
        slots = self._held.report(session.slots)
        return any(session.slots.get(target) != slot for target, slot in slots.items())

    def _report(self, now: float) -> None:
        report = self._session.make_report(
            self._accounts(now),
            self._held.report(self._session.slots),
            floor=self._floor(now),
            now=now,
        )
        self._note_asked(report)
        self._granted = 0
        self.urgent = False
        self._sent_at = now
        if self._unanswered_since is None:
            self._unanswered_since = now
        elif now - self._unanswered_since >= max(SUSPICION_TIMEOUT, SUSPICION_PART * self._lease):
            self._members.suspect(self._allocator)
        self._pacer.spend(self._send(self._allocator, report))

    def _floor(self, now: float) -> int:
        return round(self.told.floor(now)) if self.told.known else UNKNOWN_LEVEL

    def _note_asked(self, report: ShareReport) -> None:
        for account, entry in report.accounts.items():
            for service, waiting in entry.waiting.items():
                self._asked[account, service] = waiting.count

    def _accounts(self, now: float) -> dict[bytes, AccountReport]:
        waiting = self._waiting(now)
        accounts = set(self._levels.active) | set(self._session.accounts)
        return {account: self._account(account, waiting.get(account, {})) for account in accounts}

    def _waiting(self, now: float) -> dict[bytes, dict[bytes, Waiting]]:
        found: dict[bytes, dict[bytes, Waiting]] = {}
        for service in self._queues.services:
            queues = self._queues.of(service)
            assert queues is not None
            for name in queues.accounts:
                head = queues.head(name)
                found.setdefault(short_id(name), {})[short_id(service)] = Waiting(
                    min(queues.length(name), MOST_WAITING_REPORTED),
                    round(head.estimate / head.account.weight),
                    self._overdue.applies(head, now),
                )
        return found

    def _account(self, account: bytes, waiting: dict[bytes, Waiting]) -> AccountReport:
        before = self._session.accounts.get(account)
        service = self._levels.service(account)
        known = self._levels.known_level(account)
        running = account in self._levels.active
        if before is None:
            return AccountReport(service, known, running, waiting)
        # The level matters in the first report only, which rebuilds an allocator.
        known = KNOWN_SINCE_BEFORE if self._session.knows(account) else before.known_level
        if abs(service - before.service) < REPORTED_PART * self.told.margin:
            service = before.service
        return AccountReport(service, known, running, waiting)
