"""Acquisition, renewal and loss of the order lease."""

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
    from loomyard.external.log_service import LogBatch, LogRecord, LogService
    from loomyard_router.members.membership import Member

logger = logging.getLogger(__name__)

# Duration of the lease, and age at which it is renewed, in seconds.
TERM = 10.0
RENEW_AFTER = 3.0
# Maximum relative difference in speed between two monotonic clocks, and maximum seconds between a
# sender's check of the lease and its send; a successor waits for both.
DRIFT = 0.01
MARGIN = 1.0
TAKEOVER_AFTER = TERM * (1 + 2 * DRIFT) + MARGIN


class OrderLeaseManager:
    """Follow the lease in the log; acquire it if this router is a candidate and it has expired.

    The log alone decides which router holds the lease. The term runs on this router's monotonic
    clock: for the holder from before its append, for others from when they read the record.
    """

    def __init__(self, clock: Clock, log: LogService, own: Member) -> None:
        self._clock = clock
        self._log = log
        self._own = own
        self._next_offset = 0
        self._holder: OrderLease | None = None
        self._fencing = -1
        self._lease_read_at = clock.now()
        self._valid_until = float("-inf")
        self._held_since = float("-inf")
        self._sent_at: dict[int, float] = {}

    @property
    def holder(self) -> str | None:
        return None if self._holder is None else self._holder.holder

    def held(self, seconds: float = 0.0) -> HeldLease | None:
        """Return the lease if it is held for more than ``seconds`` from now, else ``None``."""
        if not self._is_own(self._holder) or self._clock.now() + seconds >= self._valid_until:
            return None
        return HeldLease(
            fencing=self._fencing, since=self._held_since, valid_until=self._valid_until
        )

    def step(self, *, candidate: bool) -> None:
        """Read new records, then renew or take over the lease if due; only a candidate writes."""
        if not (candidate or self._is_own(self._holder)):
            # Reading late is safe: a takeover waits from when the last lease record was read.
            return
        if not self._read():
            return
        if self._is_own(self._holder):
            if candidate and self._clock.now() >= self._valid_until - TERM + RENEW_AFTER:
                self._append()
        elif candidate and self._clock.now() - self._lease_read_at >= TAKEOVER_AFTER:
            self._append()

    def invalidate(self) -> None:
        """Treat the lease as expired, since an engine knows a later one."""
        self._valid_until = float("-inf")

    def _read(self) -> bool:
        while True:
            match self._log.read(ORDERS_STREAM, self._next_offset):
                case Ok(batch):
                    self._apply_batch(batch)
                case _:
                    return False
            if self._next_offset >= batch.end or not batch.records:
                return self._next_offset >= batch.end

    def _apply_batch(self, batch: LogBatch) -> None:
        if batch.first > self._next_offset:
            # The trimmed records may have contained a later lease.
            self._adopt(None, -1)
            self._next_offset = batch.first
        for record in batch.records:
            self._apply_record(record)
            self._next_offset = record.offset + 1

    def _apply_record(self, record: LogRecord) -> None:
        match decode(record.payload, OrderLease):
            case Ok(lease) if is_accepted(record.offset, lease):
                self._adopt(lease, record.offset)
            case Err(detail):
                emit(logger, Event.RECORD_INVALID, stream=ORDERS_STREAM, detail=detail)

    def _append(self) -> None:
        after = self._next_offset - 1
        record = OrderLease(holder=self._own.name, incarnation=self._own.incarnation, after=after)
        # The term starts at the first attempt, since an append without a reply may be in the log.
        self._sent_at.setdefault(after, self._clock.now())
        match self._log.append(ORDERS_STREAM, encode(record)):
            case Ok(offset) if is_accepted(offset, record):
                self._next_offset = offset + 1
                self._adopt(record, offset)

    def _adopt(self, lease: OrderLease | None, offset: int) -> None:
        was_own = self._is_own(self._holder)
        self._holder, self._fencing = lease, offset
        self._lease_read_at = now = self._clock.now()
        if lease is None or not self._is_own(lease):
            self._valid_until = float("-inf")
            if was_own:
                emit(logger, Event.ORDER_LEASE_LOST, holder=self.holder)
            return
        sent_at = self._sent_at.get(lease.after, float("-inf"))
        self._sent_at.clear()
        if not was_own:
            self._held_since = now
            emit(logger, Event.ORDER_LEASE_TAKEN, fencing=offset)
        self._valid_until = sent_at + TERM

    def _is_own(self, lease: OrderLease | None) -> bool:
        own = self._own
        return lease is not None and (lease.holder, lease.incarnation) == (
            own.name,
            own.incarnation,
        )
