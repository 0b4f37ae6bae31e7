"""The exchange of one router with the allocator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.shares.changed_values import ChangedValues
from loomyard_router.shares.messages import AccountReport, ShareReport, SlotReport

if TYPE_CHECKING:
    from collections.abc import Mapping

    from loomyard_router.shares.messages import ShareReply

REMEMBERED_REPORTS = 64
NO_SLOTS = SlotReport(0, 0)


class ShareSession:
    """Number reports and replies; a new one begins with each allocator and after each lapse."""

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
        """Return the number of the report to come."""
        return self._sequence + 1

    @property
    def opened(self) -> bool:
        """Tell whether the allocator has answered in this session."""
        return self._baseline > 0

    def knows(self, account: bytes) -> bool:
        """Tell whether the allocator has acknowledged an entry of an account."""
        return self.accounts.sequence(account) <= self._baseline

    def prune(self) -> None:
        """Forget acknowledged entries that say nothing any more."""
        for account in list(self.accounts):
            entry = self.accounts.get(account)
            if entry and not entry.running and not entry.waiting and self.knows(account):
                self.accounts.drop(account)
        for target in list(self.slots):
            if self.slots.get(target) == NO_SLOTS and self.slots.sequence(target) <= self._baseline:
                self.slots.drop(target)

    def make_report(
        self,
        accounts: Mapping[bytes, AccountReport],
        slots: Mapping[bytes, SlotReport],
        *,
        floor: int,
        now: float,
    ) -> ShareReport:
        """Make the report of all that changed since what the allocator acknowledged."""
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
            floor=0 if self.opened else floor,
            accounts=self.accounts.since(self._baseline),
            slots=self.slots.since(self._baseline),
        )

    def accept(self, reply: ShareReply) -> float | None:
        """Take in a reply; return its lease deadline, ``None`` where it is late or doubled."""
        if reply.session != self.number or reply.sequence <= self.acknowledged:
            return None
        self.acknowledged = reply.sequence
        self._baseline = max(self._baseline, reply.acknowledged)
        sent_at = self._sent_at.get(reply.acknowledged)
        return float("-inf") if sent_at is None else sent_at + reply.lease_ms / 1000
