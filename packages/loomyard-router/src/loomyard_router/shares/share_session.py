"""Session of one router with the allocator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.shares.changed_values import ChangedValues
from loomyard_router.shares.messages import AccountReport, ShareReport, SlotReport

if TYPE_CHECKING:
    from collections.abc import Mapping

    from loomyard_router.shares.messages import ShareReply

# Send times kept, to compute lease deadlines; a reply to an older report extends no lease.
REMEMBERED_REPORTS = 64
NO_SLOTS = SlotReport(0, 0)


class ShareSession:
    """Sequence numbers and unacknowledged changes of the reports to one allocator.

    A new session begins with each new allocator and after each expiry of the lease.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.accounts: ChangedValues[bytes, AccountReport] = ChangedValues()
        self.slots: ChangedValues[bytes, SlotReport] = ChangedValues()
        self.acknowledged = 0
        self._sequence = 0
        self._baseline = 0
        self._sent_at: dict[int, float] = {}

    @property
    def next_report(self) -> int:
        """Return the sequence number of the next report."""
        return self._sequence + 1

    @property
    def opened(self) -> bool:
        """Return whether the allocator has answered in this session."""
        return self._baseline > 0

    def is_acknowledged(self, account: bytes) -> bool:
        """Return whether the allocator has acknowledged the current entry of an account."""
        return self.accounts.sequence(account) <= self._baseline

    def prune(self) -> None:
        """Remove acknowledged entries of accounts and targets that are no longer in use."""
        for account in list(self.accounts):
            entry = self.accounts.get(account)
            if entry and not entry.running and not entry.waiting and self.is_acknowledged(account):
                self.accounts.remove(account)
        for target in list(self.slots):
            if self.slots.get(target) == NO_SLOTS and self.slots.sequence(target) <= self._baseline:
                self.slots.remove(target)

    def make_report(
        self,
        accounts: Mapping[bytes, AccountReport],
        slots: Mapping[bytes, SlotReport],
        *,
        min_level: int,
        now: float,
    ) -> ShareReport:
        """Return a report of all changes that the allocator has not acknowledged."""
        self.prune()
        number = self.next_report
        for account, value in accounts.items():
            self.accounts.set(account, value, number)
        for target, held in slots.items():
            self.slots.set(target, held, number)
        self._sequence = number
        self._sent_at[number] = now
        self._sent_at.pop(number - REMEMBERED_REPORTS, None)
        return ShareReport(
            session=self.number,
            sequence=number,
            acknowledged=self.acknowledged,
            baseline=self._baseline,
            min_level=0 if self.opened else min_level,
            accounts=self.accounts.changed_since(self._baseline),
            slots=self.slots.changed_since(self._baseline),
        )

    def accept(self, reply: ShareReply) -> float | None:
        """Record a reply; return its lease deadline, ``None`` if it is late or a duplicate."""
        if reply.session != self.number or reply.sequence <= self.acknowledged:
            return None
        self.acknowledged = reply.sequence
        self._baseline = max(self._baseline, reply.acknowledged)
        sent_at = self._sent_at.get(reply.acknowledged)
        return float("-inf") if sent_at is None else sent_at + reply.lease_ms / 1000
