"""State of one reporting router at the allocator."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from zlib import crc32

from attrs import define, evolve, field

from loomyard_router.members.membership import Member
from loomyard_router.shares.changed_values import ChangedValues
from loomyard_router.shares.lease_terms import IDLE_LEASE_SECONDS
from loomyard_router.shares.messages import AccountReport, RemoteLowest, ShareReply
from loomyard_router.shares.slot_lease import SlotLease

if TYPE_CHECKING:
    from loomyard_router.shares.messages import ShareReport
    from loomyard_router.shares.min_level import MinLevel

# A report is answered after this fraction of the lease, if there is nothing new to send.
RENEWAL_FRACTION = 0.3
# Changes of levels by less than this fraction of the margin are not sent.
SENT_CHANGE_FRACTION = 0.125


@define
class PendingGrant:
    """A slot granted for a demand by the reply number ``reply``, not acknowledged yet."""

    reply: int
    account: bytes
    service: bytes


@define(eq=False)
class ReportingRouter:
    """What a router reported in a session, and what the replies to it contained.

    ``leases_sent`` are lease durations in seconds by reply number; ``acknowledged`` is the last
    reply that the router applied; times are monotonic seconds of the allocator.
    """

    member: Member
    session: int
    sequence: int = 0
    last_report_at: float = 0.0
    leases_sent: dict[int, float] = field(factory=lambda: {0: IDLE_LEASE_SECONDS})
    reply_sequence: int = 0
    acknowledged: int = 0
    report_unanswered: bool = False
    reply_due: bool = False
    urgent: bool = False
    replied_at: float = float("-inf")
    accounts: dict[bytes, AccountReport] = field(factory=dict)
    leases: dict[bytes, SlotLease] = field(factory=dict)
    pending: list[PendingGrant] = field(factory=list)
    offsets: ChangedValues[bytes, int] = field(factory=ChangedValues)
    lowest: ChangedValues[bytes, RemoteLowest | None] = field(factory=ChangedValues)
    lowest_sent_at: dict[bytes, float] = field(factory=dict)
    limits: ChangedValues[bytes, int] = field(factory=ChangedValues)

    @property
    def name(self) -> str:
        return self.member.name

    @property
    def source(self) -> tuple[str, int]:
        """Return the name and incarnation, which identify one start of the router."""
        return self.member.name, self.member.incarnation

    @property
    def next_reply(self) -> int:
        """Return the sequence number of the next reply."""
        return self.reply_sequence + 1

    def lease(self, target: bytes) -> SlotLease:
        """Return the lease on slots of a target, an empty one if there is none."""
        return self.leases.setdefault(target, SlotLease())

    @property
    def longest_lease(self) -> float:
        """Return the longest lease, in seconds, that the router may rely on."""
        return max(self.leases_sent.values())

    def granted(self, target: bytes) -> int:
        """Return how many slots of a target the router may hold."""
        lease = self.leases.get(target)
        return lease.granted if lease else 0

    def spread_rank(self, target: bytes) -> int:
        """Return a hash that ranks routers in a different order for each target."""
        return crc32(target + self.name.encode())

    def record_report(self, report: ShareReport, now: float) -> None:
        """Record the arrival of a report and the reply that it acknowledges."""
        self.sequence = report.sequence
        self.last_report_at = now
        self.report_unanswered = True
        # A reply that was never sent from here can't be acknowledged.
        acknowledged = min(report.acknowledged, self.reply_sequence)
        self.acknowledged = max(self.acknowledged, acknowledged)
        # The leases of earlier replies are superseded by that of the acknowledged one.
        superseded = [number for number in self.leases_sent if number < self.acknowledged]
        for number in superseded:
            del self.leases_sent[number]

    def make_reply(self, *, lease: float, min_level: MinLevel, margin: int) -> ShareReply:
        """Return the next reply, with all changes that the router has not acknowledged."""
        self.reply_sequence += 1
        self.leases_sent[self.reply_sequence] = lease
        self.report_unanswered = self.reply_due = self.urgent = False
        limits = self.limits.changed_since(self.acknowledged)
        for target in limits.keys() & self.leases.keys():
            self.leases[target].sent_in = self.reply_sequence
        return ShareReply(
            session=self.session,
            sequence=self.reply_sequence,
            acknowledged=self.sequence,
            lease_ms=round(lease * 1000),
            min_level=round(min_level.value),
            min_level_rate=round(min_level.rate),
            margin=margin,
            offsets=self.offsets.changed_since(self.acknowledged),
            lowest=self.lowest.changed_since(self.acknowledged),
            limits=limits,
        )

    def set_lowest(self, service: bytes, lowest: RemoteLowest | None, now: float) -> None:
        """Set the lowest level at other routers, if it differs from what the router expects.

        The router extrapolates the level at the rate that it received.
        """
        sent = self.lowest.get(service)
        if sent is not None and lowest is not None:
            expected = sent.level + sent.rate * (now - self.lowest_sent_at[service])
            if abs(expected - lowest.level) < SENT_CHANGE_FRACTION * min(
                sent.margin, lowest.margin
            ):
                return
        if self.lowest.set(service, lowest, self.next_reply):
            self.lowest_sent_at[service] = now
            self.reply_due = True
            self.urgent |= sent is None

    def extrapolate_lowest(self, now: float) -> None:
        """Extrapolate unacknowledged lowest levels to now, since the router counts from receipt."""
        for service, lowest in self.lowest.changed_since(self.acknowledged).items():
            if lowest is not None:
                grown = lowest.rate * (now - self.lowest_sent_at[service])
                extrapolated = evolve(lowest, level=lowest.level + round(grown))
                self.lowest.set(service, extrapolated, self.next_reply)
                self.lowest_sent_at[service] = now

    def is_due(self, now: float, interval: float) -> bool:
        """Return whether to reply: changes after ``interval`` seconds, else to renew the lease."""
        since = now - self.replied_at
        return self.urgent or (self.reply_due and since >= interval) or self.renewal_due(now)

    def renewal_due(self, now: float) -> bool:
        """Return whether a reply is needed to renew the lease."""
        return (
            self.report_unanswered
            and now - self.replied_at >= RENEWAL_FRACTION * self.longest_lease
        )

    def apply_slots(self, report: ShareReport) -> bool:
        """Apply the slots of a report; return whether some of them became free."""
        self.pending = [grant for grant in self.pending if grant.reply > report.acknowledged]
        before = self._committed()
        for target, slot in report.slots.items():
            lease = self.lease(target)
            lease.limit, lease.excess = slot.limit, slot.excess
        for target, lease in list(self.leases.items()):
            if lease.acknowledge(report.acknowledged):
                self.limits.set_acknowledged(target, lease.granted)
            if not lease.committed:
                del self.leases[target]
                self.limits.remove(target)
        return self._committed() < before

    def restore_slots(self, report: ShareReport) -> None:
        """Adopt the slots that a router holds when it begins a session."""
        for target, slot in report.slots.items():
            self.leases[target] = SlotLease(
                granted=slot.limit, limit=slot.limit, excess=slot.excess
            )
            self.limits.set_acknowledged(target, slot.limit)

    def grant(self, target: bytes, slots: int, *, urgent: bool = True) -> None:
        """Set how many slots of a target the router may hold from the next reply on."""
        self.lease(target).set_granted(slots, self.next_reply)
        self.limits.set(target, slots, self.next_reply)
        self.reply_due = True
        self.urgent |= urgent

    def count_pending(self) -> Counter[tuple[bytes, bytes]]:
        """Return the number of unacknowledged slot grants by account and service."""
        return Counter((grant.account, grant.service) for grant in self.pending)

    def _committed(self) -> int:
        return sum(lease.committed for lease in self.leases.values())
