"""One claim partition on a host: follow its stream and append to it in groups."""

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
from loomyard.outside.log_service import READ_WAIT
from loomyard.outside.settled_append import backoff_seconds
from loomyard.util.waiting import wait_any, wait_result
from loomyard_router.claims.keys import stream_of
from loomyard_router.claims.partition_state import PartitionState
from loomyard_router.claims.records import Abandoned, Begun, ClaimBatch, Finished
from loomyard_router.claims.verdict import Verdict
from loomyard_router.peers.compact_codec import pack, unpack

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.outside.log_service import LogBatch, LogService
    from loomyard_router.claims.key_state import KeyState

logger = logging.getLogger(__name__)

PAGE = 500
# A host that has not read to the end for this long refuses to judge.
FRESH_SECONDS = 5.0
# Starts of appends of one partition lie at least this far apart.
APPEND_SPACING = 0.05
# The end of a claim waits this long for a claim to go with, which is what callers wait for.
END_LINGER = 0.1
# A host whose append is on its way for longer takes no claims until there is an answer.
SLOW_APPEND = 1.0
SPACING_JITTER = 0.2
RESTART_SECONDS = 0.5
RECORDS_PER_APPEND = 256
MAX_KEYS = 200_000

Record = Begun | Finished | Abandoned


@define(eq=False)
class _Entry:
    """A record to append and what waits for it to be read back."""

    record: Record
    seen: AsyncResult = field(factory=AsyncResult)
    waiters: int = 0


class ClaimPartition:
    """Hold the state of a partition and order claims in its stream."""

    def __init__(self, log: LogService, clock: Clock, partition: int) -> None:
        self._log = log
        self._clock = clock
        self._stream = stream_of(partition)
        self._state = PartitionState()
        self._position = 0
        self._read_at: float | None = None
        self._reachable = True
        self._behind = True
        self._entries: dict[tuple[type, bytes], _Entry] = {}
        self._pending: list[_Entry] = []
        self._wake = Event()
        self._urgent = Event()
        self._append_started: float | None = None
        self._tasks: list[gevent.Greenlet] = []

    @property
    def ready(self) -> bool:
        """Whether the stream was read to its end a short while ago and answers."""
        started = self._append_started
        slow = started is not None and self._clock.now() - started > SLOW_APPEND
        return self._reachable and self._fresh and not slow

    @property
    def _fresh(self) -> bool:
        return self._read_at is not None and self._clock.now() - self._read_at <= FRESH_SECONDS

    @property
    def full(self) -> bool:
        return len(self._state) >= MAX_KEYS

    def find(self, key: bytes) -> KeyState | None:
        """Return the state of a key."""
        return self._state.find(key, self._clock.wall())

    def unsettled(self) -> list[tuple[bytes, KeyState]]:
        """Return the keys that were begun and have no outcome."""
        return self._state.unsettled()

    def start(self) -> None:
        """Start to follow and to append."""
        self._tasks = [gevent.spawn(self._keep, task) for task in (self._follow, self._write)]

    def stop(self) -> None:
        """End the tasks."""
        gevent.killall(self._tasks)

    def begin(self, begun: Begun, deadline: float) -> Verdict | None:
        """Append a record and return what log order decided; ``None`` where that is not known."""
        entry = self._submit(begun)
        verdict = wait_result(entry.seen, deadline, self._clock)
        entry.waiters -= 1
        return verdict if isinstance(verdict, Verdict) else None

    def settle(self, records: list[Finished | Abandoned], deadline: float) -> bool:
        """Append records; return whether all were read back by the deadline."""
        entries = [self._submit(record) for record in records]
        for entry in entries:
            wait_result(entry.seen, deadline, self._clock)
            entry.waiters -= 1
        return all(entry.seen.ready() and entry.seen.value is not None for entry in entries)

    def _submit(self, record: Record) -> _Entry:
        identity = (type(record), record.claim_id)
        entry = self._entries.get(identity)
        if entry is None:
            entry = self._entries[identity] = _Entry(record)
            self._pending.append(entry)
            self._wake.set()
            if isinstance(record, Begun):
                self._urgent.set()
        entry.waiters += 1
        return entry

    def _resolve(self, record: Record, value: object) -> None:
        entry = self._entries.pop((type(record), record.claim_id), None)
        if entry is not None:
            entry.seen.set(value)

    def _keep(self, task: Callable[[], None]) -> None:
        """Begin a task again where an unexpected error ended it; claims then time out."""
        while True:
            try:
                task()
            except Exception as error:
                emit(logger, LogEvent.HANDLER_FAILED, stream=self._stream, error=repr(error))
                self._append_started = None
                self._clock.sleep(RESTART_SECONDS)

    def _follow(self) -> None:
        failures = 0
        while True:
            if self._read(READ_WAIT if self._fresh else 0.0):
                failures = 0
                continue
            self._clock.sleep(backoff_seconds(failures))
            failures += 1

    def _read(self, wait: float) -> bool:
        """Read and fold once; false where the log service gave nothing to judge by."""
        started, position = self._clock.now(), self._position
        match self._log.read(self._stream, position, limit=PAGE, wait=wait):
            case Ok(batch) if batch.end >= position:
                self._take(batch, started)
                return True
        # Unreachable, or it has lost what was read: nothing can be judged by it.
        self._note_reachable(False)
        return False

    def _take(self, batch: LogBatch, started: float) -> None:
        if batch.first > self._position:
            # What lies between is past every window, so a fresh fold knows all that counts.
            emit(logger, LogEvent.CLAIMS_TRIMMED, stream=self._stream, first=batch.first)
            self._state = PartitionState()
            self._position = batch.first
        for record in batch.records:
            if record.offset < self._position:
                continue
            self._position = record.offset + 1
            self._apply(record.payload)
        self._behind = self._position < batch.end
        if not self._behind:
            self._read_at = started
            self._note_reachable(True)

    def _apply(self, payload: bytes) -> None:
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

    def _note_reachable(self, reachable: bool) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            event = LogEvent.LOG_RECOVERED if reachable else LogEvent.LOG_UNAVAILABLE
            emit(logger, event, stream=self._stream)

    def _write(self) -> None:
        failures = 0
        while True:
            self._wake.wait()
            wait_any([self._urgent], self._clock.now() + END_LINGER, self._clock)
            started = self._clock.now()
            entries = self._next_entries()
            if not entries:
                continue
            self._append_started = started
            appended = self._log.append(self._stream, pack(_batch_of(entries)))
            self._append_started = None
            match appended:
                case Ok(_):
                    failures = 0
                    self._pause(started)
                case Err(fault):
                    lost = fault.code is ResultCode.LOG_ANSWER_LOST
                    self._fail_begins(entries, certain=not lost)
                    self._clock.sleep(backoff_seconds(failures))
                    failures += 1
                    if lost:
                        self._read_to_end()
                    self._queue_again(entries)

    def _next_entries(self) -> list[_Entry]:
        for entry in self._pending:
            if not entry.waiters:
                self._entries.pop((type(entry.record), entry.record.claim_id), None)
        wanted = [e for e in self._pending if e.waiters and not e.seen.ready()]
        self._pending = wanted[RECORDS_PER_APPEND:]
        if not self._pending:
            self._wake.clear()
            self._urgent.clear()
        return wanted[:RECORDS_PER_APPEND]

    def _fail_begins(self, entries: list[_Entry], *, certain: bool) -> None:
        for entry in entries:
            if certain and isinstance(entry.record, Begun):
                self._resolve(entry.record, None)

    def _read_to_end(self) -> None:
        """Read what the append may have left, so that nothing is repeated blindly."""
        failures = 0
        while not self._read(0.0) or self._behind:
            self._clock.sleep(backoff_seconds(failures))
            failures += 1

    def _queue_again(self, entries: list[_Entry]) -> None:
        """Queue what was not read back; a second copy of a record changes nothing."""
        self._pending += [entry for entry in entries if not entry.seen.ready()]
        if self._pending:
            self._wake.set()

    def _pause(self, started: float) -> None:
        """Space the appends, and more widely where the log service is slow."""
        took = self._clock.now() - started
        spacing = max(APPEND_SPACING, took) * (1 + random.uniform(0, SPACING_JITTER))
        left = started + spacing - self._clock.now()
        if left > 0:
            self._clock.sleep(left)


def _batch_of(entries: list[_Entry]) -> ClaimBatch:
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
