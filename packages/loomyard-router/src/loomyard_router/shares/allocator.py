"""Allocation of target slots to routers over the whole fleet, fair between client accounts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from loomyard_router.shares.account_report_processor import AccountReportProcessor
from loomyard_router.shares.congestion import Congestion
from loomyard_router.shares.demands import Demands
from loomyard_router.shares.granting import grant_demands
from loomyard_router.shares.lease_terms import lease_seconds
from loomyard_router.shares.levels import FleetLevels
from loomyard_router.shares.messages import ShareReply, ShareReset
from loomyard_router.shares.reporting_router import SENT_CHANGE_FRACTION, ReportingRouter
from loomyard_router.shares.service_levels import (
    MARGIN_REQUESTS,
    MARGIN_SECONDS,
    ServiceLevels,
)
from loomyard_router.shares.starvation_recall import StarvationRecall

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.members.membership import Member
    from loomyard_router.shares.capacity import Capacity
    from loomyard_router.shares.message_budget import MessageBudget
    from loomyard_router.shares.messages import ShareReport

# Non-urgent replies: minimum seconds between two to one router, maximum per second to all.
MIN_REPLY_INTERVAL = 0.3
ROUTINE_REPLIES_PER_SECOND = 9.0
# Seconds without grants before all leases are known, after a router left the live members: it may
# only be partitioned and use its slots for the rest of its lease.
LOST_MEMBER_WAIT = 1.5
# Maximum relative difference in speed between the clocks of two routers.
CLOCK_DRIFT = 0.01
# Above these sizes, each allocation and each poll is followed by a pause in seconds per extra item,
# so that a larger fleet makes them rarer instead of taking a larger part of a core.
UNTHROTTLED_SIZE = 150
UNTHROTTLED_ROUTERS = 30
PAUSE_PER_ITEM = 0.0003


class Allocator:
    """Grant slots to the waiting account with the lowest level, and send levels to routers.

    All state can be rebuilt from the routers' reports, so a new allocator needs no handover.
    ``joined_at`` is when the list of live members may be trusted, on the monotonic clock; ``send``
    sends a message to a router by name and returns its size in bytes.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        capacity: Capacity,
        live: Callable[[], tuple[Member, ...]],
        fleet_size: Callable[[], int],
        joined_at: float,
        send: Callable[[str, ShareReply | ShareReset], int],
        budget: MessageBudget,
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self._live = live
        self._fleet_size = fleet_size
        self._joined_at = joined_at
        self._lost_at = float("-inf")
        self._seen_live = {member.name for member in live()}
        self._send = send
        self._budget = budget
        self._routers: dict[str, ReportingRouter] = {}
        self._levels = FleetLevels()
        self._account_reports = AccountReportProcessor(self._levels)
        self._services = ServiceLevels()
        self._congestion = Congestion()
        self._starvation_recall = StarvationRecall()
        self._margin = 0
        self._first_report_at: float | None = None
        self._dirty = False
        self._allocate_at = float("-inf")
        self._poll_at = float("-inf")

    @property
    def levels(self) -> FleetLevels:
        return self._levels

    @property
    def routers(self) -> dict[str, ReportingRouter]:
        """Return the routers with a current session, by name."""
        return self._routers

    @property
    def busy(self) -> bool:
        """Return whether a request waits or runs at any router, or a reply is due."""
        return any(router.accounts or router.reply_due for router in self._routers.values())

    def waiting(self, service: bytes) -> int:
        """Return the number of requests reported to wait for a service."""
        demands = Demands(self._routers.values(), self._levels).by_service
        return sum(demand.count for demand in demands.get(service, ()))

    def handle_report(self, member: Member, report: ShareReport) -> None:
        """Apply a report of a router; late and duplicate reports are ignored.

        A report relative to a baseline that is not known here is answered with ``ShareReset``.
        """
        now = self._clock.now()
        router = self._routers.get(member.name)
        if router is None or router.source != _source(member) or report.session > router.session:
            if report.baseline:
                self._send(member.name, ShareReset(report.session))
                return
            router = self._add_router(member, report)
        if report.session < router.session or report.sequence <= router.sequence:
            return
        first = not router.sequence
        if self._first_report_at is None:
            self._first_report_at = now
        router.record_report(report, now)
        router.urgent |= first
        if not first and router.apply_slots(report):
            self._dirty = True
        self._account_reports.apply(router, report, now, first=first, credit=self._margin)
        self._dirty |= bool(report.accounts)

    def poll(self) -> None:
        """Expire leases, grant free slots and send the replies that are due."""
        now = self._clock.now()
        if now < self._poll_at:
            return
        self._poll_at = now + max(0, len(self._routers) - UNTHROTTLED_ROUTERS) * PAUSE_PER_ITEM
        self._expire(now)
        if self._dirty and self._routers and now >= self._allocate_at:
            self._allocate(now)
        blocked = False
        due = sum(router.reply_due for router in self._routers.values())
        interval = max(MIN_REPLY_INTERVAL, due / ROUTINE_REPLIES_PER_SECOND)
        for router in sorted(self._routers.values(), key=lambda r: (not r.urgent, r.replied_at)):
            if router.is_due(now, interval):
                blocked = not self._budget.allows(now)
                if blocked:
                    break
                self._reply(router, now)
        self._congestion.update(now, blocked=blocked)

    def mark_capacity_changed(self) -> None:
        """Request a new allocation after a change of target capacity."""
        self._dirty = True

    def mark_members_changed(self) -> None:
        """Request a new allocation after a change of the live routers."""
        live = {member.name for member in self._live()}
        if self._seen_live - live:
            self._lost_at = self._clock.now()
        self._seen_live = live
        self._dirty = True

    def _reset(self) -> None:
        self._levels = FleetLevels()
        self._account_reports = AccountReportProcessor(self._levels)
        self._first_report_at = None

    def _add_router(self, member: Member, report: ShareReport) -> ReportingRouter:
        known = self._routers.get(member.name)
        if known is not None:
            self._drop_accounts(known)
        router = ReportingRouter(member, report.session)
        router.restore_slots(report)
        self._routers[member.name] = router
        self._dirty = True
        return router

    def _expire(self, now: float) -> None:
        for router in list(self._routers.values()):
            if now >= router.last_report_at + router.longest_lease * (1 + CLOCK_DRIFT):
                self._drop_accounts(router)
                del self._routers[router.name]
                self._dirty = True
        if not self._routers and self._first_report_at is not None:
            self._reset()

    def _drop_accounts(self, router: ReportingRouter) -> None:
        self._account_reports.remove_router(router, self._clock.now())

    def _allocate(self, now: float) -> None:
        self._dirty = False
        demands = Demands(self._routers.values(), self._levels)
        size = demands.count + len(self._routers) + self._capacity.target_count
        self._allocate_at = now + max(0, size - UNTHROTTLED_SIZE) * PAUSE_PER_ITEM
        if demands.min_level is None:
            self._levels.min_level.reset_rate()
        else:
            self._levels.min_level.update(demands.min_level, now)
            growth = MARGIN_SECONDS * self._levels.min_level.rate
            self._margin = round(MARGIN_REQUESTS * demands.mean_estimate + growth)
        self._services.update(demands, now)
        free = self._free_slots(now)
        self._recall_overcommitted(free)
        if self._can_grant(now):
            grant_demands(demands, free, self._capacity)
            self._starvation_recall.apply(demands, self._routers.values(), self._capacity, now)
            self._distribute_idle(demands, free)
        else:
            self._dirty = True
        self._publish_levels(demands, now)

    def _free_slots(self, now: float) -> dict[bytes, int]:
        """Return free slots by target, negative where more are leased than may be."""
        fraction = self._grantable_fraction(now)
        free = {t: math.ceil(slots * fraction) for t, slots in self._capacity.slots().items()}
        for router in self._routers.values():
            for target, lease in router.leases.items():
                free[target] = free.get(target, 0) - lease.committed
        return free

    def _grantable_fraction(self, now: float) -> float:
        """Return the fraction of slots that may be leased, below 1 without a majority."""
        reporting, total = len(self._routers), self._fleet_size()
        settled = now >= self._all_leases_known_at()
        return reporting / total if settled and 2 * reporting <= total else 1.0

    def _can_grant(self, now: float) -> bool:
        """Return whether slots that no router has reported are known to be free."""
        if now >= self._all_leases_known_at():
            return True
        if now < max(self._joined_at, self._lost_at + LOST_MEMBER_WAIT):
            return False
        live = self._live()
        majority = 2 * len(live) > self._fleet_size()
        return majority and all(member.name in self._routers for member in live)

    def _all_leases_known_at(self) -> float:
        """Return when every lease of an earlier allocator has been reported here or has ended."""
        began_at = math.inf if self._first_report_at is None else self._first_report_at
        return began_at + self._lease(idle=True) * (1 + CLOCK_DRIFT)

    def _lease(self, *, idle: bool) -> float:
        return lease_seconds(self._fleet_size(), self._budget.byte_rate, idle=idle)

    def _recall_overcommitted(self, free: dict[bytes, int]) -> None:
        for target, slots in free.items():
            for _ in range(-slots):
                holder = max(self._routers.values(), key=lambda r: r.granted(target))
                if not holder.granted(target):
                    break
                holder.grant(target, holder.granted(target) - 1)

    def _distribute_idle(self, demands: Demands, free: dict[bytes, int]) -> None:
        """Lease slots without demand evenly, so that a new request needs no round trip first."""
        routers = list(self._routers.values())
        for target, slots in free.items():
            if any(service in demands.by_service for service in self._capacity.services(target)):
                continue
            for _ in range(slots):
                router = min(routers, key=lambda r: (r.granted(target), r.spread_rank(target)))
                router.grant(target, router.granted(target) + 1, urgent=False)

    def _publish_levels(self, demands: Demands, now: float) -> None:
        factor = self._congestion.margin_factor
        for router in self._routers.values():
            self._set_offsets(router)
            held = {s for t in router.leases for s in self._capacity.services(t)}
            for service in held | set(router.lowest):
                lowest = demands.lowest_at_others(service, router.name) if service in held else None
                remote = None
                if lowest is not None:
                    remote = self._services.remote_lowest(service, lowest, factor)
                router.set_lowest(service, remote, now)

    def _is_close(self, sent: int, value: int) -> bool:
        return abs(sent - value) < SENT_CHANGE_FRACTION * self._margin

    def _set_offsets(self, router: ReportingRouter) -> None:
        for account in router.accounts:
            offset = self._levels.offset(router.source, account)
            sent = router.offsets.get(account)
            if sent is None or not self._is_close(sent, offset):
                router.offsets.set(account, offset, router.next_reply)
                router.reply_due = True

    def _reply(self, router: ReportingRouter, now: float) -> None:
        self._set_offsets(router)
        router.extrapolate_lowest(now)
        idle = not any(r.accounts for r in self._routers.values())
        reply = router.make_reply(
            lease=self._lease(idle=idle),
            min_level=self._levels.min_level,
            margin=self._margin,
        )
        router.replied_at = now
        self._budget.spend(self._send(router.name, reply))


def _source(member: Member) -> tuple[str, int]:
    return member.name, member.incarnation
