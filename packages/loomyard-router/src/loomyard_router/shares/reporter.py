"""Reports of a router to the allocator, sent on changes and within the message budget."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loomyard_router.shares.lease_terms import report_interval, urgent_report_interval
from loomyard_router.shares.messages import UNKNOWN_LEVEL, AccountReport, BacklogReport, ShareReport
from loomyard_router.shares.remote_levels import RemoteLevels
from loomyard_router.shares.share_session import ShareSession
from loomyard_router.shares.short_ids import short_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.members.membership import Membership
    from loomyard_router.shares.account_levels import AccountLevels
    from loomyard_router.shares.held_slots import HeldSlots
    from loomyard_router.shares.message_budget import MessageBudget
    from loomyard_router.shares.messages import ShareReply
    from loomyard_router.shares.request_queues import RequestQueues
    from loomyard_router.shares.starvation_tracker import StarvationTracker

# A change of service by more than this fraction of the margin is reported after MIN_INTERVAL
# seconds, smaller changes after the interval for non-urgent reports.
LARGE_CHANGE_FRACTION = 0.5
MIN_INTERVAL = 0.15
# Seconds after which an unanswered first report of a session is repeated.
OPEN_RETRY_INTERVAL = 0.25
# The allocator is suspected without a reply for both this many seconds and this fraction of the
# lease.
SUSPICION_TIMEOUT = 1.0
SUSPICION_LEASE_FRACTION = 0.75
RENEWALS_PER_LEASE = 3
MAX_WAITING_REPORTED = 32
# A change of service by less than this fraction of the margin is not reported.
REPORTED_CHANGE_FRACTION = 0.125
# Reported as the level of an account that the allocator knows already.
LEVEL_ACKNOWLEDGED = 0
# A prime, so that incarnations any interval apart begin with different session numbers, which take
# three bytes in a message.
FIRST_SESSION_MODULUS = 65521


class Reporter:
    """Send reports to the allocator and apply its replies to levels and held slots.

    Setting ``urgent`` requests a report as soon as the lease allows.
    """

    def __init__(
        self,
        *,
        members: Membership,
        find_allocator: Callable[[Membership], str],
        send: Callable[[str, ShareReport], int],
        budget: MessageBudget,
        queues: RequestQueues,
        levels: AccountLevels,
        held: HeldSlots,
        starvation: StarvationTracker,
    ) -> None:
        self._members = members
        self._find_allocator = find_allocator
        self._send = send
        self._budget = budget
        self._queues = queues
        self._levels = levels
        self._held = held
        self._starvation = starvation
        # Replies to an earlier incarnation of this router must not match a session of this one.
        self._session = ShareSession(1 + members.own.incarnation % FIRST_SESSION_MODULUS)
        self._allocator = ""
        self._members_changed = True
        self._sent_at = float("-inf")
        self._unanswered_since: float | None = None
        self._lease = 0.0
        self._reported_waiting: Counter[tuple[bytes, bytes]] = Counter()
        self._granted_since_report = 0
        self.urgent = False
        self.remote = RemoteLevels()
        members.subscribe(self._mark_members_changed)

    def can_report(self, now: float) -> bool:
        """Return whether the session is open and the budget allows a report."""
        return self._session.opened and (self._reports_to_itself or self._budget.allows(now))

    def check_backlog(self, account: bytes, service: bytes, count: int) -> None:
        """Request an urgent report if twice as many requests wait as the allocator knows."""
        known = max(0, self._reported_waiting[account, service] - self._granted_since_report)
        if known < MAX_WAITING_REPORTED and count >= max(1, 2 * known):
            self.urgent = True

    def poll(self, now: float) -> None:
        """Send a report if one is due; after the end of the lease begin a new session."""
        if self._members_changed:
            self._choose_allocator()
        if self._lease and not self._held.is_valid(now):
            self._held.clear_limits()
            self.remote.clear()
            self._lease = 0.0
            self.begin_session()
        if self._is_due(now) and (self._reports_to_itself or self._budget.allows(now)):
            self._report(now)

    def begin_session(self) -> None:
        """Begin a new session, whose first report is complete."""
        self._session = ShareSession(self._session.number + 1)
        self._reported_waiting.clear()
        self._sent_at = float("-inf")
        self._unanswered_since = None

    def is_session(self, number: int) -> bool:
        """Return whether a session is the current one."""
        return number == self._session.number

    def accept(self, reply: ShareReply, now: float) -> bool:
        """Apply a reply; return false if it is late or a duplicate."""
        deadline = self._session.accept(reply)
        if deadline is None:
            return False
        self._unanswered_since = None
        self._lease = reply.lease_ms / 1000
        self._held.lease_until = max(self._held.lease_until, deadline)
        self.remote.accept(reply, now)
        self._levels.set_offsets(reply.offsets)
        for target, limit in reply.limits.items():
            self._granted_since_report += max(0, limit - self._held.limit(target))
            self._held.set_limit(target, limit)
        return True

    @property
    def _reports_to_itself(self) -> bool:
        return self._allocator == self._members.own.name

    def _mark_members_changed(self) -> None:
        self._members_changed = True

    def _choose_allocator(self) -> None:
        self._members_changed = False
        allocator = self._find_allocator(self._members)
        if allocator != self._allocator:
            self._allocator = allocator
            self.begin_session()

    def _is_due(self, now: float) -> bool:
        since = now - self._sent_at
        if not self._session.opened:
            return since >= OPEN_RETRY_INTERVAL
        if self.urgent and since >= urgent_report_interval(self._lease):
            return True
        if since >= self._lease / RENEWALS_PER_LEASE:
            return True
        if since < max(MIN_INTERVAL, urgent_report_interval(self._lease)):
            return False
        return self._changed(now, large_only=since < report_interval(self._lease))

    def _changed(self, now: float, *, large_only: bool) -> bool:
        """Return whether a change is worth a report; ``large_only`` looks at large ones alone."""
        session = self._session
        for account, report in self._accounts(now).items():
            sent = session.accounts.get(account)
            if sent is None:
                return True
            if abs(sent.served - report.served) > LARGE_CHANGE_FRACTION * self.remote.margin:
                return True
            if large_only:
                continue
            if sent.served != report.served or sent.running != report.running:
                return True
            if sent.waiting.keys() != report.waiting.keys():
                return True
        if large_only:
            return False
        slots = self._held.report(session.slots)
        return any(session.slots.get(target) != slot for target, slot in slots.items())

    def _report(self, now: float) -> None:
        report = self._session.make_report(
            self._accounts(now),
            self._held.report(self._session.slots),
            min_level=self._min_level(now),
            now=now,
        )
        self._record_reported(report)
        self._granted_since_report = 0
        self.urgent = False
        self._sent_at = now
        if self._unanswered_since is None:
            self._unanswered_since = now
        elif now - self._unanswered_since >= max(
            SUSPICION_TIMEOUT, SUSPICION_LEASE_FRACTION * self._lease
        ):
            self._members.suspect(self._allocator)
        self._budget.spend(self._send(self._allocator, report))

    def _min_level(self, now: float) -> int:
        return round(self.remote.min_level(now)) if self.remote.known else UNKNOWN_LEVEL

    def _record_reported(self, report: ShareReport) -> None:
        for account, entry in report.accounts.items():
            for service, waiting in entry.waiting.items():
                self._reported_waiting[account, service] = waiting.count

    def _accounts(self, now: float) -> dict[bytes, AccountReport]:
        waiting = self._waiting(now)
        accounts = set(self._levels.active) | set(self._session.accounts)
        return {account: self._account(account, waiting.get(account, {})) for account in accounts}

    def _waiting(self, now: float) -> dict[bytes, dict[bytes, BacklogReport]]:
        found: dict[bytes, dict[bytes, BacklogReport]] = {}
        for service in self._queues.services:
            queues = self._queues.for_service(service)
            assert queues is not None
            for name in queues.accounts:
                head = queues.head(name)
                found.setdefault(short_id(name), {})[short_id(service)] = BacklogReport(
                    min(queues.length(name), MAX_WAITING_REPORTED),
                    round(head.estimate / head.account.weight),
                    self._starvation.is_starved(head, now),
                )
        return found

    def _account(self, account: bytes, waiting: dict[bytes, BacklogReport]) -> AccountReport:
        before = self._session.accounts.get(account)
        served = self._levels.served(account)
        known = self._levels.known_level(account)
        running = account in self._levels.active
        if before is None:
            return AccountReport(served, known, running, waiting)
        # The level is used from the first report only, to rebuild the state of a new allocator.
        known = LEVEL_ACKNOWLEDGED if self._session.is_acknowledged(account) else before.known_level
        if abs(served - before.served) < REPORTED_CHANGE_FRACTION * self.remote.margin:
            served = before.served
        return AccountReport(served, known, running, waiting)
