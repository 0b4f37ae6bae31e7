"""Follower of the configuration stream of the log service."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok, Result

from loomyard.configuration import CONFIG_STREAM, EMPTY_VERSION, Verdict
from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard.external.log_service import MAX_READ_WAIT_SECONDS
from loomyard.util.collector import exempt_from_collection
from loomyard_router.configuration.replica import ConfigReplica
from loomyard_router.configuration.task_loop import run_repeatedly

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.configuration import ConfigState
    from loomyard.external.log_service import LogBatch, LogService
    from loomyard.routing import Routing
    from loomyard_router.configuration.settled_change import SettledChange
    from loomyard_router.configuration.state_source import StateSource

logger = logging.getLogger(__name__)

READ_RECORDS = 50  # per read
LOG_RETRY_SECONDS = 0.2
GAP_RETRY_SECONDS = 2.0
# An empty router looks for a snapshot first where the log holds more records than this.
LONG_LOG_RECORDS = 1000
SETTLE_WAIT_SECONDS = 0.5


class ConfigFollower:
    """Reads the log and folds it into a state that depends on the records only."""

    def __init__(self, log: LogService, clock: Clock) -> None:
        self.replica = ConfigReplica()
        self._log = log
        self._clock = clock
        self._state_sources: list[StateSource] = []
        self._task: gevent.Greenlet | None = None
        self._reachable = False
        self._reported_reachable = True
        self._read_at: float | None = None
        self._end = 0
        self._caught_up = False
        self._has_gap = False

    @property
    def state(self) -> ConfigState:
        return self.replica.state

    @property
    def routing(self) -> Routing:
        return self.replica.routing

    @property
    def ready(self) -> bool:
        """Return whether there is a configuration and it has caught up with the log once."""
        return self._caught_up and self.state.version != EMPTY_VERSION

    @property
    def log_reachable(self) -> bool:
        return self._reachable

    @property
    def read_at(self) -> float | None:
        """Return the monotonic time of the last answer of the log service."""
        return self._read_at

    @property
    def has_gap(self) -> bool:
        """Return whether the next records were trimmed and no state source replaced them."""
        return self._has_gap

    @property
    def missing_records(self) -> int:
        """Return how many records of the stream are known but not applied yet."""
        return max(0, self._end - 1 - self.state.applied)

    def verdict(self, change_id: str) -> Verdict | None:
        """Return the verdict on a change, or ``None`` while it has not been read."""
        settled = self.replica.settled(change_id)
        return None if settled is None else settled.decision.verdict

    def await_settled(self, change_id: str, deadline: float) -> Result[SettledChange, Fault]:
        """Wait until a change was read from the log.

        Error: ``CHANGE_UNSETTLED`` at the deadline, a monotonic time.
        """
        while (settled := self.replica.settled(change_id)) is None:
            left = deadline - self._clock.now()
            if left <= 0:
                detail = f"change {change_id} was not read back in time; query it again by its id"
                return Err(Fault(code=ResultCode.CHANGE_UNSETTLED, detail=detail))
            self.replica.await_update(min(left, SETTLE_WAIT_SECONDS))
        return Ok(settled)

    def subscribe(self, listener: Callable[[Routing], None]) -> None:
        """Register a callback for each configuration that comes into force."""
        self.replica.subscribe(listener)

    def add_state_source(self, source: StateSource) -> None:
        """Add a source of states for when records are missing; sources are tried in order."""
        self._state_sources.append(source)

    def record_end(self, end: int) -> None:
        """Record the end offset of the stream as another router reported it."""
        self._end = max(self._end, end)

    def record_caught_up(self) -> None:
        """Record that the state has caught up with the log."""
        if not self._caught_up:
            exempt_from_collection(len(self.state.objects))
        self._caught_up = True

    def start(self) -> None:
        """Start the reading task."""
        self._task = gevent.spawn(run_repeatedly, self._clock, self._step)

    def stop(self) -> None:
        """Stop the reading task."""
        if self._task is not None:
            self._task.kill()

    def poll(self, wait: float = 0.0) -> bool:
        """Read and apply one batch, waiting up to ``wait`` seconds for records.

        Return false where the log service did not answer.
        """
        offset = self.state.applied + 1
        match self._log.read(CONFIG_STREAM, offset, limit=READ_RECORDS, wait=wait):
            case Ok(batch):
                self._reachable = True
                self._read_at = self._clock.now()
                self._apply_batch(batch)
            case _:
                self._reachable = False
        return self._reachable

    def _step(self) -> float:
        reachable = self.poll(MAX_READ_WAIT_SECONDS)
        if reachable != self._reported_reachable:
            self._reported_reachable = reachable
            emit(logger, Event.LOG_RECOVERED if reachable else Event.LOG_UNAVAILABLE)
        if not reachable:
            return LOG_RETRY_SECONDS
        return GAP_RETRY_SECONDS if self._has_gap else 0.0

    def _apply_batch(self, batch: LogBatch) -> None:
        self._end = max(self._end, batch.end)
        if batch.end <= self.state.applied:
            emit(logger, Event.LOG_REGRESSED, end=batch.end, applied=self.state.applied)
            return
        self._has_gap = batch.first > self.state.applied + 1
        if (self._has_gap or self._prefers_snapshot(batch)) and self._load_state(batch):
            return
        if self._has_gap:
            first, applied = batch.first, self.state.applied
            emit(logger, Event.STARTING_POINT_MISSING, first=first, applied=applied)
            return
        self.replica.apply(batch.records)
        if self.state.applied + 1 >= batch.end:
            self.record_caught_up()

    def _prefers_snapshot(self, batch: LogBatch) -> bool:
        """Return whether a snapshot is faster than reading the whole log."""
        return self.state.applied == EMPTY_VERSION and batch.end - batch.first > LONG_LOG_RECORDS

    def _load_state(self, batch: LogBatch) -> bool:
        min_offset = max(batch.first - 1, self.state.applied + 1)
        for source in self._state_sources:
            state = source.find(min_offset)
            if state is not None and self.replica.adopt_newer(state):
                emit(logger, Event.STARTING_POINT_ADOPTED, as_of=state.applied)
                self._has_gap = False
                return True
        return False
