"""One claim partition on a host: reads its stream and appends to it in batches."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

import gevent
from attrs import define, field
from gevent.event import AsyncResult, Event
from result import Err, Ok

from loomyard.errors import ResultCode
from loomyard.events import Event as LogEvent
from loomyard.events import emit
from loomyard.external.confirmed_append import backoff_seconds
from loomyard.external.log_service import MAX_READ_WAIT_SECONDS
from loomyard.util.waiting import wait_any, wait_result
from loomyard_router.claims.keys import stream_of
from loomyard_router.claims.partition_state import PartitionState
from loomyard_router.claims.records import Abandoned, Begun, ClaimBatch, Finished
from loomyard_router.claims.verdict import Verdict
from loomyard_router.peers.compact_codec import pack, unpack
from loomyard_router.supervision.failures import record_failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.external.log_service import LogBatch, LogService
    from loomyard_router.claims.key_state import KeyState

logger = logging.getLogger(__name__)

RECORDS_PER_READ = 500
# A host that has not read to the end of the stream for this long is not ready.
MAX_STALENESS_SECONDS = 5.0
# Least seconds between the starts of two appends of one partition.
APPEND_SPACING_SECONDS = 0.05
# Records of ended claims wait this long to share the append of a ``Begun`` record; callers wait
# for ``Begun`` records only.
SETTLE_LINGER_SECONDS = 0.1
# A host whose append takes longer is not ready until the append is answered.
SLOW_APPEND_SECONDS = 1.0
SPACING_JITTER = 0.2  # largest random increase, as a fraction of the spacing
RESTART_SECONDS = 0.5
RECORDS_PER_APPEND = 256
MAX_KEYS = 200_000  # a partition with this many keys accepts no claims on new ones

Record = Begun | Finished | Abandoned


@define(eq=False)
class _PendingRecord:
    """A record to append, and the result for the callers that wait until it is read back."""

    record: Record
    read_back: AsyncResult = field(factory=AsyncResult)
    waiters: int = 0


class ClaimPartition:
    """Holds the state of a partition and appends claims to its stream."""

    def __init__(self, log: LogService, clock: Clock, partition: int) -> None:
        self._log = log
        self._clock = clock
        self._stream = stream_of(partition)
        self._state = PartitionState()
        self._position = 0
        self._read_at: float | None = None
        self._reachable = True
        self._lagging = True
        self._entries_by_claim: dict[tuple[type, bytes], _PendingRecord] = {}
        self._pending: list[_PendingRecord] = []
        self._has_pending = Event()
        self._has_begun = Event()
        self._append_started: float | None = None
        self._tasks: list[gevent.Greenlet] = []

    @property
    def ready(self) -> bool:
        """Whether the stream was read to its end recently and no append is slow."""
        started = self._append_started
        slow = started is not None and self._clock.now() - started > SLOW_APPEND_SECONDS
        return self._reachable and self._is_fresh and not slow

    @property
    def _is_fresh(self) -> bool:
        return (
            self._read_at is not None and self._clock.now() - self._read_at <= MAX_STALENESS_SECONDS
        )

    @property
    def is_full(self) -> bool:
        return len(self._state) >= MAX_KEYS

    def find(self, key: bytes) -> KeyState | None:
        """Return the state of a key, or ``None`` if it is free."""
        return self._state.find(key, self._clock.wall())

    def unsettled(self) -> list[tuple[bytes, KeyState]]:
        """Return the keys that were begun and have no outcome."""
        return self._state.unsettled()

    def start(self) -> None:
        """Start the tasks that read and append."""
        self._tasks = [
            gevent.spawn(self._run_forever, task) for task in (self._follow, self._append_pending)
        ]

    def stop(self) -> None:
        """End the tasks."""
        gevent.killall(self._tasks)

    def begin(self, begun: Begun, deadline: float) -> Verdict | None:
        """Append a record and return the verdict, or ``None`` if it is unknown by the deadline."""
        entry = self._submit(begun)
        verdict = wait_result(entry.read_back, deadline, self._clock)
        entry.waiters -= 1
        return verdict if isinstance(verdict, Verdict) else None

    def settle(self, records: list[Finished | Abandoned], deadline: float) -> bool:
        """Append records; return whether all were read back by the deadline."""
        entries = [self._submit(record) for record in records]
        for entry in entries:
            wait_result(entry.read_back, deadline, self._clock)
            entry.waiters -= 1
        return all(
            entry.read_back.ready() and entry.read_back.value is not None for entry in entries
        )

    def _submit(self, record: Record) -> _PendingRecord:
        identity = (type(record), record.claim_id)
        entry = self._entries_by_claim.get(identity)
        if entry is None:
            entry = self._entries_by_claim[identity] = _PendingRecord(record)
            self._pending.append(entry)
            self._has_pending.set()
            if isinstance(record, Begun):
                self._has_begun.set()
        entry.waiters += 1
        return entry

    def _resolve(self, record: Record, value: object) -> None:
        entry = self._entries_by_claim.pop((type(record), record.claim_id), None)
        if entry is not None:
            entry.read_back.set(value)

    def _run_forever(self, task: Callable[[], None]) -> None:
        """Restart a task after an unexpected error; claims that wait meanwhile time out."""
        while True:
            try:
                task()
            except Exception as error:
                record_failure("claims", error)
                self._append_started = None
                self._clock.sleep(RESTART_SECONDS)

    def _follow(self) -> None:
        failures = 0
        while True:
            if self._read(MAX_READ_WAIT_SECONDS if self._is_fresh else 0.0):
                failures = 0
                continue
            self._clock.sleep(backoff_seconds(failures))
            failures += 1

    def _read(self, wait: float) -> bool:
        """Read and fold once; return false if the log is unreachable or has lost records."""
        started, position = self._clock.now(), self._position
        match self._log.read(self._stream, position, limit=RECORDS_PER_READ, wait=wait):
            case Ok(batch) if batch.end >= position:
                self._apply_records(batch, started)
                return True
        # Unreachable, or the log ends before what was read: its order can't be relied on.
        self._set_reachable(False)
        return False

    def _apply_records(self, batch: LogBatch, started: float) -> None:
        if batch.first > self._position:
            # The trimmed records are older than every claim window, so an empty state is complete.
            emit(logger, LogEvent.CLAIMS_TRIMMED, stream=self._stream, first=batch.first)
            self._state = PartitionState()
            self._position = batch.first
        for record in batch.records:
            if record.offset < self._position:
                continue
            self._position = record.offset + 1
            self._apply_payload(record.payload)
        self._lagging = self._position < batch.end
        if not self._lagging:
            self._read_at = started
            self._set_reachable(True)

    def _apply_payload(self, payload: bytes) -> None:
        match unpack(payload, ClaimBatch):
            case Ok(batch):
                verdicts = self._state.apply(batch)
                for begun, verdict in zip(batch.begun, verdicts, strict=True):
                    self._resolve(begun, verdict)
                ends: list[Record] = [*batch.abandoned, *batch.finished]
                for record in ends:
                    self._resolve(record, True)
            case _:
                emit(logger, LogEvent.RECORD_INVALID, offset=self._position - 1)

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            event = LogEvent.LOG_RECOVERED if reachable else LogEvent.LOG_UNAVAILABLE
            emit(logger, event, stream=self._stream)

    def _append_pending(self) -> None:
        failures = 0
        while True:
            self._has_pending.wait()
            wait_any([self._has_begun], self._clock.now() + SETTLE_LINGER_SECONDS, self._clock)
            started = self._clock.now()
            entries = self._pop_pending()
            if not entries:
                continue
            self._append_started = started
            appended = self._log.append(self._stream, pack(_make_batch(entries)))
            self._append_started = None
            match appended:
                case Ok(_):
                    failures = 0
                    self._await_spacing(started)
                case Err(fault):
                    lost = fault.code is ResultCode.LOG_ANSWER_LOST
                    self._fail_begins(entries, certain=not lost)
                    self._clock.sleep(backoff_seconds(failures))
                    failures += 1
                    if lost:
                        self._read_to_end()
                    self._requeue(entries)

    def _pop_pending(self) -> list[_PendingRecord]:
        for entry in self._pending:
            if not entry.waiters:
                self._entries_by_claim.pop((type(entry.record), entry.record.claim_id), None)
        unresolved = [e for e in self._pending if e.waiters and not e.read_back.ready()]
        self._pending = unresolved[RECORDS_PER_APPEND:]
        if not self._pending:
            self._has_pending.clear()
            self._has_begun.clear()
        return unresolved[:RECORDS_PER_APPEND]

    def _fail_begins(self, entries: list[_PendingRecord], *, certain: bool) -> None:
        for entry in entries:
            if certain and isinstance(entry.record, Begun):
                self._resolve(entry.record, None)

    def _read_to_end(self) -> None:
        """Read to the end, so that records of an append whose answer was lost are not repeated."""
        failures = 0
        while not self._read(0.0) or self._lagging:
            self._clock.sleep(backoff_seconds(failures))
            failures += 1

    def _requeue(self, entries: list[_PendingRecord]) -> None:
        """Queue records that were not read back again; a duplicate in the log changes nothing."""
        self._pending += [entry for entry in entries if not entry.read_back.ready()]
        if self._pending:
            self._has_pending.set()

    def _await_spacing(self, started: float) -> None:
        """Wait before the next append, longer where the log service is slow."""
        append_seconds = self._clock.now() - started
        spacing = max(APPEND_SPACING_SECONDS, append_seconds) * (
            1 + random.uniform(0, SPACING_JITTER)
        )
        left = started + spacing - self._clock.now()
        if left > 0:
            self._clock.sleep(left)


def _make_batch(entries: list[_PendingRecord]) -> ClaimBatch:
    batch = ClaimBatch()
    for entry in entries:
        match entry.record:
            case Begun():
                batch.begun.append(entry.record)
            case Finished():
                batch.finished.append(entry.record)
            case Abandoned():
                batch.abandoned.append(entry.record)
    return batch
