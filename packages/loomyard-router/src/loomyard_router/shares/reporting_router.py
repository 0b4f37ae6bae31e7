"""One router that reports to the allocator, as the allocator sees it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from zlib import crc32

from attrs import define, evolve, field

from loomyard_router.members.membership import Member
from loomyard_router.shares.changed_values import ChangedValues
from loomyard_router.shares.lease_terms import IDLE_LEASE
from loomyard_router.shares.messages import AccountReport, Elsewhere, ShareReply
from loomyard_router.shares.slot_lease import SlotLease

if TYPE_CHECKING:
    from loomyard_router.shares.floor_level import FloorLevel
    from loomyard_router.shares.messages import ShareReport

# A report without news is answered after this time.
RENEWAL = 0.7
# Levels that moved by less than this part of the margin are not told.
TOLD_PART = 0.125


@define
class PendingGrant:
    """A slot granted for a demand by a reply that is not acknowledged yet."""

    reply: int
    account: bytes
    service: bytes


@define(eq=False)
class ReportingRouter:
    """What a router reported in a session and what was replied."""

    member: Member
    session: int
    sequence: int = 0
    heard_at: float = 0.0
    promised: dict[int, float] = field(factory=lambda: {0: IDLE_LEASE})
    reply_sequence: int = 0
    acknowledged: int = 0
    unanswered: bool = False
    reply_due: bool = False
    urgent: bool = False
    replied_at: float = float("-inf")
    accounts: dict[bytes, AccountReport] = field(factory=dict)
    leases: dict[bytes, SlotLease] = field(factory=dict)
    pending: list[PendingGrant] = field(factory=list)
    offsets: ChangedValues[bytes, int] = field(factory=ChangedValues)
    lowest: ChangedValues[bytes, Elsewhere | None] = field(factory=ChangedValues)
    lowest_told_at: dict[bytes, float] = field(factory=dict)
    limits: ChangedValues[bytes, int] = field(factory=ChangedValues)

    @property
    def name(self) -> str:
        return self.member.name

    @property
    def source(self) -> tuple[str, int]:
        """Return what tells this start of the router from others."""
        return self.member.name, self.member.incarnation

    @property
    def next_reply(self) -> int:
        """Return the number of the reply to come."""
        return self.reply_sequence + 1

    def lease(self, target: bytes) -> SlotLease:
        """Return the slots of a target at this router."""
        return self.leases.setdefault(target, SlotLease())

    @property
    def longest_lease(self) -> float:
        """Return the longest lease, in seconds, that the router may go by."""
        return max(self.promised.values())

    def granted(self, target: bytes) -> int:
        """Return how many slots of a target the router may keep."""
        lease = self.leases.get(target)
        return lease.granted if lease else 0

    def spread_rank(self, target: bytes) -> int:
        """Return an order of routers that differs from target to target."""
        return crc32(target + self.name.encode())

    def hear(self, report: ShareReport, now: float) -> None:
        """Take in the numbers of a report."""
        self.sequence = report.sequence
        self.heard_at = now
        self.unanswered = True
        self.acknowledged = max(self.acknowledged, report.acknowledged)
        # A reply that is superseded no longer binds.
        superseded = [number for number in self.promised if number < self.acknowledged]
        for number in superseded:
            del self.promised[number]

    def make_reply(self, *, lease: float, floor: FloorLevel, margin: int) -> ShareReply:
        """Make the reply with all that the router may not know."""
        self.reply_sequence += 1
        self.promised[self.reply_sequence] = lease
        self.unanswered = self.reply_due = self.urgent = False
        limits = self.limits.since(self.acknowledged)
        for target in limits.keys() & self.leases.keys():
            self.leases[target].told_in = self.reply_sequence
        return ShareReply(
            session=self.session,
            sequence=self.reply_sequence,
            acknowledged=self.sequence,
            lease_ms=round(lease * 1000),
            floor=round(floor.value),
            floor_rate=round(floor.rate),
            margin=margin,
            offsets=self.offsets.since(self.acknowledged),
            lowest=self.lowest.since(self.acknowledged),
            limits=limits,
        )

    def tell_lowest(self, service: bytes, lowest: Elsewhere | None, now: float) -> None:
        """Tell of the neediest elsewhere where that differs from what the router goes by."""
        told = self.lowest.get(service)
        if told is not None and lowest is not None:
            carried = told.level + told.rate * (now - self.lowest_told_at[service])
            if abs(carried - lowest.level) < TOLD_PART * min(told.margin, lowest.margin):
                return
        if self.lowest.set(service, lowest, self.next_reply):
            self.lowest_told_at[service] = now
            self.reply_due = True
            self.urgent |= told is None

    def carry_lowest(self, now: float) -> None:
        """Bring to the present what is sent again, as the router goes by when it hears it."""
        for service, lowest in self.lowest.since(self.acknowledged).items():
            if lowest is not None:
                grown = lowest.rate * (now - self.lowest_told_at[service])
                carried = evolve(lowest, level=lowest.level + round(grown))
                self.lowest.set(service, carried, self.next_reply)
                self.lowest_told_at[service] = now

    def is_due(self, now: float, gap: float) -> bool:
        """Tell whether to reply: for news after a gap, else only in time to renew the lease."""
        since = now - self.replied_at
        return self.urgent or (self.reply_due and since >= gap) or self.must_renew(now)

    def must_renew(self, now: float) -> bool:
        """Tell whether a reply is needed to renew the lease."""
        return self.unanswered and now - self.replied_at >= RENEWAL

    def take_slots(self, report: ShareReport) -> bool:
        """Take over what a report says of slots; true where some came free."""
        self.pending = [grant for grant in self.pending if grant.reply > report.acknowledged]
        before = self._committed()
        for target, slot in report.slots.items():
            lease = self.lease(target)
            lease.limit, lease.excess = slot.limit, slot.excess
        for target, lease in list(self.leases.items()):
            if lease.acknowledge(report.acknowledged):
                self.limits.adopt(target, lease.granted)
            if not lease.committed:
                del self.leases[target]
                self.limits.drop(target)
        return self._committed() < before

    def adopt_slots(self, report: ShareReport) -> None:
        """Take over the slots that a router keeps as it begins a session."""
        for target, slot in report.slots.items():
            self.leases[target] = SlotLease(
                granted=slot.limit, limit=slot.limit, excess=slot.excess
            )
            self.limits.adopt(target, slot.limit)

    def grant(self, target: bytes, slots: int, *, urgent: bool = True) -> None:
        """Let the router keep a number of slots of a target from the next reply on."""
        self.lease(target).change(slots, self.next_reply)
        self.limits.set(target, slots, self.next_reply)
        self.reply_due = True
        self.urgent |= urgent

    def count_pending(self) -> Counter[tuple[bytes, bytes]]:
        """Count the slots granted to accounts and services and not acknowledged yet."""
        return Counter((grant.account, grant.service) for grant in self.pending)

    def _committed(self) -> int:
        return sum(lease.committed for lease in self.leases.values())
