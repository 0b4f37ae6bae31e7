"""The allocator: levels of accounts and slots of targets over the whole fleet."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from loomyard_router.shares.account_intake import AccountIntake
from loomyard_router.shares.congestion import Congestion
from loomyard_router.shares.demands import Demands
from loomyard_router.shares.granting import grant_demands
from loomyard_router.shares.lease_terms import lease_term
from loomyard_router.shares.levels import FleetLevels
from loomyard_router.shares.messages import ShareReply, ShareReset
from loomyard_router.shares.overdue_recall import OverdueRecall
from loomyard_router.shares.reporting_router import TOLD_PART, ReportingRouter
from loomyard_router.shares.service_levels import (
    MARGIN_REQUESTS,
    MARGIN_SECONDS,
    ServiceLevels,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.members.membership import Member
    from loomyard_router.shares.capacity import Capacity
    from loomyard_router.shares.messages import ShareReport
    from loomyard_router.shares.pacing import Pacer

# Replies to one router that are not urgent leave at least this much time between them, and all
# of them together take no more than this many messages a second.
REPLY_GAP = 0.3
ROUTINE_REPLIES_PER_SECOND = 9.0
# A router that is believed dead may be cut off and use its slots for the rest of its lease.
LOST_WAIT = 1.5
# Clocks of routers may differ in speed by this part.
CLOCK_DRIFT = 0.01
# Beyond some size an allocation leaves a pause that grows with what it looked at, so that a larger
# fleet makes allocations rarer and not a larger part of a core.
UNPACED_SIZE = 150
UNPACED_ROUTERS = 30
GAP_PER_ITEM = 0.0003


class Allocator:
    """Grant slots to the waiting account with the least level, and tell levels.

    It has no state that the reports of the routers do not bring back.
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
        pacer: Pacer,
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self._live = live
        self._fleet_size = fleet_size
        self._joined_at = joined_at
        self._lost_at = float("-inf")
        self._seen_live = {member.name for member in live()}
        self._send = send
        self._pacer = pacer
        self._routers: dict[str, ReportingRouter] = {}
        self._levels = FleetLevels()
        self._intake = AccountIntake(self._levels)
        self._services = ServiceLevels()
        self._congestion = Congestion()
        self._overdue = OverdueRecall()
        self._margin = 0
        self._began_at: float | None = None
        self._dirty = False
        self._allocate_at = float("-inf")
        self._poll_at = float("-inf")

    @property
    def levels(self) -> FleetLevels:
        return self._levels

    @property
    def routers(self) -> dict[str, ReportingRouter]:
        """Return the routers heard from, by name."""
        return self._routers

    @property
    def busy(self) -> bool:
        """Tell whether anything waits or runs at a router, or a reply is due."""
        return any(router.accounts or router.reply_due for router in self._routers.values())

    def waiting(self, service: bytes) -> int:
        """Return how many requests of a service wait, as reported."""
        demands = Demands(self._routers.values(), self._levels).by_service
        return sum(demand.count for demand in demands.get(service, ()))

    def handle_report(self, member: Member, report: ShareReport) -> None:
        """Take in a report; late and doubled ones change nothing."""
        now = self._clock.now()
        router = self._routers.get(member.name)
        if router is None or router.source != _source(member) or report.session > router.session:
            if report.baseline:
                self._send(member.name, ShareReset(report.session))
                return
            router = self._begin(member, report)
        if report.session < router.session or report.sequence <= router.sequence:
            return
        first = not router.sequence
        if self._began_at is None:
            self._began_at = now
        router.hear(report, now)
        router.urgent |= first
        if not first and router.take_slots(report):
            self._dirty = True
        self._intake.take(router, report, now, first=first, credit=self._margin)
        self._dirty |= bool(report.accounts)

    def poll(self) -> None:
        """Grant what can be granted and send the replies that are due."""
        now = self._clock.now()
        if now < self._poll_at:
            return
        self._poll_at = now + max(0, len(self._routers) - UNPACED_ROUTERS) * GAP_PER_ITEM
        self._expire(now)
        if self._dirty and self._routers and now >= self._allocate_at:
            self._allocate(now)
        blocked = False
        waiting = sum(router.reply_due for router in self._routers.values())
        gap = max(REPLY_GAP, waiting / ROUTINE_REPLIES_PER_SECOND)
        for router in sorted(self._routers.values(), key=lambda r: (not r.urgent, r.replied_at)):
            if router.is_due(now, gap):
                blocked = not self._pacer.allows(now)
                if blocked:
                    break
                self._reply(router, now)
        self._congestion.note(now, blocked=blocked)

    def touch(self) -> None:
        """Take in that capacity changed."""
        self._dirty = True

    def take_members(self) -> None:
        """Take in that the live routers changed."""
        live = {member.name for member in self._live()}
        if self._seen_live - live:
            self._lost_at = self._clock.now()
        self._seen_live = live
        self._dirty = True

    def _forget(self) -> None:
        self._levels = FleetLevels()
        self._intake = AccountIntake(self._levels)
        self._began_at = None

    def _begin(self, member: Member, report: ShareReport) -> ReportingRouter:
        known = self._routers.get(member.name)
        if known is not None:
            self._drop(known)
        router = ReportingRouter(member, report.session)
        router.adopt_slots(report)
        self._routers[member.name] = router
        self._dirty = True
        return router

    def _expire(self, now: float) -> None:
        for router in list(self._routers.values()):
            if now >= router.heard_at + router.longest_lease * (1 + CLOCK_DRIFT):
                self._drop(router)
                del self._routers[router.name]
                self._dirty = True
        if not self._routers and self._began_at is not None:
            self._forget()

    def _drop(self, router: ReportingRouter) -> None:
        self._intake.drop(router, self._clock.now())

    def _allocate(self, now: float) -> None:
        self._dirty = False
        demands = Demands(self._routers.values(), self._levels)
        size = demands.count + len(self._routers) + self._capacity.target_count
        self._allocate_at = now + max(0, size - UNPACED_SIZE) * GAP_PER_ITEM
        if demands.floor is None:
            self._levels.floor.rest()
        else:
            self._levels.floor.note(demands.floor, now)
            growth = MARGIN_SECONDS * self._levels.floor.rate
            self._margin = round(MARGIN_REQUESTS * demands.margin + growth)
        self._services.note(demands, now)
        free = self._free_slots(now)
        self._recall(free)
        if self._may_grant(now):
            grant_demands(demands, free, self._capacity)
            self._overdue.apply(demands, self._routers.values(), self._capacity, now)
            self._spread(demands, free)
        else:
            self._dirty = True
        self._tell_lowest(demands, now)

    def _free_slots(self, now: float) -> dict[bytes, int]:
        """Return the free slots of each target; negative where too many are out."""
        part = self._part(now)
        free = {t: math.ceil(slots * part) for t, slots in self._capacity.slots().items()}
        for router in self._routers.values():
            for target, lease in router.leases.items():
                free[target] = free.get(target, 0) - lease.committed
        return free

    def _part(self, now: float) -> float:
        """Return the part of all slots that may be out: less than all without a majority."""
        heard, total = len(self._routers), self._fleet_size()
        settled = now >= self._granting_from()
        return heard / total if settled and 2 * heard <= total else 1.0

    def _may_grant(self, now: float) -> bool:
        """Tell whether slots that nobody here reported are surely free."""
        if now >= self._granting_from():
            return True
        if now < max(self._joined_at, self._lost_at + LOST_WAIT):
            return False
        live = self._live()
        majority = 2 * len(live) > self._fleet_size()
        return majority and all(member.name in self._routers for member in live)

    def _granting_from(self) -> float:
        began_at = math.inf if self._began_at is None else self._began_at
        return began_at + self._lease(idle=True) * (1 + CLOCK_DRIFT)

    def _lease(self, *, idle: bool) -> float:
        return lease_term(self._fleet_size(), self._pacer.byte_rate, idle=idle)

    def _recall(self, free: dict[bytes, int]) -> None:
        for target, slots in free.items():
            for _ in range(-slots):
                holder = max(self._routers.values(), key=lambda r: r.granted(target))
                if not holder.granted(target):
                    break
                holder.grant(target, holder.granted(target) - 1)

    def _spread(self, demands: Demands, free: dict[bytes, int]) -> None:
        """Lease slots that nobody waits for evenly, so that work need not ask first."""
        routers = list(self._routers.values())
        for target, slots in free.items():
            if any(service in demands.by_service for service in self._capacity.services(target)):
                continue
            for _ in range(slots):
                router = min(routers, key=lambda r: (r.granted(target), r.spread_rank(target)))
                router.grant(target, router.granted(target) + 1, urgent=False)

    def _tell_lowest(self, demands: Demands, now: float) -> None:
        stretch = self._congestion.stretch
        for router in self._routers.values():
            self._set_offsets(router)
            held = {s for t in router.leases for s in self._capacity.services(t)}
            for service in held | set(router.lowest):
                lowest = demands.lowest_elsewhere(service, router.name) if service in held else None
                told = None
                if lowest is not None:
                    told = self._services.elsewhere(service, lowest, stretch)
                router.tell_lowest(service, told, now)

    def _near(self, told: int, value: int) -> bool:
        return abs(told - value) < TOLD_PART * self._margin

    def _set_offsets(self, router: ReportingRouter) -> None:
        for account in router.accounts:
            offset = self._levels.offset(router.source, account)
            told = router.offsets.get(account)
            if told is None or not self._near(told, offset):
                router.offsets.set(account, offset, router.next_reply)
                router.reply_due = True

    def _reply(self, router: ReportingRouter, now: float) -> None:
        self._set_offsets(router)
        router.carry_lowest(now)
        idle = not any(r.accounts for r in self._routers.values())
        reply = router.make_reply(
            lease=self._lease(idle=idle),
            floor=self._levels.floor,
            margin=self._margin,
        )
        router.replied_at = now
        self._pacer.spend(self._send(router.name, reply))


def _source(member: Member) -> tuple[str, int]:
    return member.name, member.incarnation
