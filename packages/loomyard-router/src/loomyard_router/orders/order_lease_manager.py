"""Take, renew and lose the lease on orders."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Err, Ok

from loomyard.codec import decode, encode
from loomyard.events import Event, emit
from loomyard_router.orders.held_lease import HeldLease
from loomyard_router.orders.lease_record import ORDERS_STREAM, OrderLease, is_accepted

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.outside.log_service import LogBatch, LogRecord, LogService
    from loomyard_router.members.membership import Member

logger = logging.getLogger(__name__)

TERM = 10.0
RENEW_AFTER = 3.0
# Two monotonic clocks may differ by this part, and a sender by these seconds between check and
# send; a successor waits for both.
DRIFT = 0.01
MARGIN = 1.0
TAKEOVER_AFTER = TERM * (1 + 2 * DRIFT) + MARGIN


class OrderLeaseManager:
    """Follow the lease in the log; hold it where this router may and nobody else does.

    The log decides alone. The term runs on this router's monotonic clock: for the holder from
    before the append, for others from after the reading.
    """

    def __init__(self, clock: Clock, log: LogService, own: Member) -> None:
        self._clock = clock
        self._log = log
        self._own = own
        self._next = 0
        self._holder: OrderLease | None = None
        self._fencing = -1
        self._seen_at = clock.now()
        self._valid_until = float("-inf")
        self._held_since = float("-inf")
        self._sent_at: dict[int, float] = {}

    @property
    def holder(self) -> str | None:
        return None if self._holder is None else self._holder.holder

    def held(self, seconds: float = 0.0) -> HeldLease | None:
        """Return the lease where it is held for some more seconds at least."""
        if not self._is_own(self._holder) or self._clock.now() + seconds >= self._valid_until:
            return None
        return HeldLease(
            fencing=self._fencing, since=self._held_since, valid_until=self._valid_until
        )

    def step(self, *, candidate: bool) -> None:
        """Read what is new, then renew, or take over where that is due and allowed."""
        if not (candidate or self._is_own(self._holder)):
            # Late reading is harmless: a takeover waits from when the last lease was read.
            return
        if not self._read():
            return
        if self._is_own(self._holder):
            if candidate and self._clock.now() >= self._valid_until - TERM + RENEW_AFTER:
                self._append()
        elif candidate and self._clock.now() - self._seen_at >= TAKEOVER_AFTER:
            self._append()

    def drop(self) -> None:
        """Send no more under the lease, since an engine knows a later one."""
        self._valid_until = float("-inf")

    def _read(self) -> bool:
        while True:
            match self._log.read(ORDERS_STREAM, self._next):
                case Ok(batch):
                    self._take_batch(batch)
                case _:
                    return False
            if self._next >= batch.end or not batch.records:
                return self._next >= batch.end

    def _take_batch(self, batch: LogBatch) -> None:
        if batch.first > self._next:
            # What was trimmed may have been a later lease.
            self._adopt(None, -1)
            self._next = batch.first
        for record in batch.records:
            self._take_record(record)
            self._next = record.offset + 1

    def _take_record(self, record: LogRecord) -> None:
        match decode(record.payload, OrderLease):
            case Ok(lease) if is_accepted(record.offset, lease):
                self._adopt(lease, record.offset)
            case Err(detail):
                emit(logger, Event.RECORD_INVALID, stream=ORDERS_STREAM, detail=detail)

    def _append(self) -> None:
        after = self._next - 1
        record = OrderLease(holder=self._own.name, incarnation=self._own.incarnation, after=after)
        # The first sending counts: an append whose answer was lost may be the one in the log.
        self._sent_at.setdefault(after, self._clock.now())
        match self._log.append(ORDERS_STREAM, encode(record)):
            case Ok(offset) if is_accepted(offset, record):
                self._next = offset + 1
                self._adopt(record, offset)

    def _adopt(self, lease: OrderLease | None, offset: int) -> None:
        had = self._is_own(self._holder)
        self._holder, self._fencing = lease, offset
        self._seen_at = now = self._clock.now()
        if lease is None or not self._is_own(lease):
            self._valid_until = float("-inf")
            if had:
                emit(logger, Event.ORDER_LEASE_LOST, holder=self.holder)
            return
        sent_at = self._sent_at.get(lease.after, float("-inf"))
        self._sent_at.clear()
        if not had:
            self._held_since = now
            emit(logger, Event.ORDER_LEASE_TAKEN, fencing=offset)
        self._valid_until = sent_at + TERM

    def _is_own(self, lease: OrderLease | None) -> bool:
        own = self._own
        return lease is not None and (lease.holder, lease.incarnation) == (
            own.name,
            own.incarnation,
        )
