"""Follow the configuration stream of the log service."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok, Result

from loomyard.configuration import CONFIG_STREAM, EMPTY_VERSION, Verdict
from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard.outside.log_service import READ_WAIT
from loomyard.util.collector import exempt_from_collection
from loomyard_router.configuration.repeating import repeat
from loomyard_router.configuration.replica import ConfigReplica

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.configuration import ConfigState
    from loomyard.outside.log_service import LogBatch, LogService
    from loomyard.routing import Routing
    from loomyard_router.configuration.settled_change import SettledChange
    from loomyard_router.configuration.starting_point import StartingPoint

logger = logging.getLogger(__name__)

READ_RECORDS = 50
RETRY_SECONDS = 0.2
GAP_RETRY_SECONDS = 2.0
LONG_LOG_RECORDS = 1000
SETTLE_WAIT = 0.5


class ConfigFollower:
    """Read the log and fold it; the state is a function of the log alone."""

    def __init__(self, log: LogService, clock: Clock) -> None:
        self.replica = ConfigReplica()
        self._log = log
        self._clock = clock
        self._starting_points: list[StartingPoint] = []
        self._task: gevent.Greenlet | None = None
        self._reachable = False
        self._reported = True
        self._read_at: float | None = None
        self._end = 0
        self._caught_up = False
        self._gap = False

    @property
    def state(self) -> ConfigState:
        return self.replica.state

    @property
    def routing(self) -> Routing:
        return self.replica.routing

    @property
    def ready(self) -> bool:
        """Tell whether there is a configuration that was up to date once."""
        return self._caught_up and self.state.version != EMPTY_VERSION

    @property
    def log_reachable(self) -> bool:
        return self._reachable

    @property
    def read_at(self) -> float | None:
        """Return when the log service answered last, on the monotonic clock."""
        return self._read_at

    @property
    def gap(self) -> bool:
        """Tell whether records are gone and nothing to start from was found."""
        return self._gap

    @property
    def behind(self) -> int:
        """Return how many records are known to be missing."""
        return max(0, self._end - 1 - self.state.applied)

    def verdict(self, change_id: str) -> Verdict | None:
        """Return what was decided about a change, once it was read."""
        settled = self.replica.settled(change_id)
        return None if settled is None else settled.decision.verdict

    def settle(self, change_id: str, deadline: float) -> Result[SettledChange, Fault]:
        """Wait until a change was read.

        Error: ``CHANGE_UNSETTLED``.
        """
        while (settled := self.replica.settled(change_id)) is None:
            left = deadline - self._clock.now()
            if left <= 0:
                detail = f"change {change_id} was not read back; ask for it again by its id"
                return Err(Fault(code=ResultCode.CHANGE_UNSETTLED, detail=detail))
            self.replica.await_move(min(left, SETTLE_WAIT))
        return Ok(settled)

    def subscribe(self, listener: Callable[[Routing], None]) -> None:
        """Call back with each configuration that comes into force."""
        self.replica.subscribe(listener)

    def add_starting_point(self, source: StartingPoint) -> None:
        """Add a place to look for a state where records are missing."""
        self._starting_points.append(source)

    def note_end(self, end: int) -> None:
        """Take in that the stream has records up to an offset."""
        self._end = max(self._end, end)

    def note_caught_up(self) -> None:
        """Take in that the state was as new as a reader of the log had it."""
        if not self._caught_up:
            exempt_from_collection(len(self.state.objects))
        self._caught_up = True

    def start(self) -> None:
        """Start to follow."""
        self._task = gevent.spawn(repeat, self._clock, self._step)

    def stop(self) -> None:
        """Stop to follow."""
        if self._task is not None:
            self._task.kill()

    def poll(self, wait: float = 0.0) -> bool:
        """Read and fold once; false where the log service did not answer."""
        offset = self.state.applied + 1
        match self._log.read(CONFIG_STREAM, offset, limit=READ_RECORDS, wait=wait):
            case Ok(batch):
                self._reachable = True
                self._read_at = self._clock.now()
                self._take(batch)
            case _:
                self._reachable = False
        return self._reachable

    def _step(self) -> float:
        reachable = self.poll(READ_WAIT)
        if reachable != self._reported:
            self._reported = reachable
            emit(logger, Event.LOG_RECOVERED if reachable else Event.LOG_UNAVAILABLE)
        if not reachable:
            return RETRY_SECONDS
        return GAP_RETRY_SECONDS if self._gap else 0.0

    def _take(self, batch: LogBatch) -> None:
        self._end = max(self._end, batch.end)
        if batch.end <= self.state.applied:
            emit(logger, Event.LOG_REGRESSED, end=batch.end, applied=self.state.applied)
            return
        self._gap = batch.first > self.state.applied + 1
        if (self._gap or self._starts_late(batch)) and self._find_start(batch):
            return
        if self._gap:
            first, applied = batch.first, self.state.applied
            emit(logger, Event.STARTING_POINT_MISSING, first=first, applied=applied)
            return
        self.replica.take(batch.records)
        if self.state.applied + 1 >= batch.end:
            self.note_caught_up()

    def _starts_late(self, batch: LogBatch) -> bool:
        """Tell whether a snapshot may save an empty router the reading of a long log."""
        return self.state.applied == EMPTY_VERSION and batch.end - batch.first > LONG_LOG_RECORDS

    def _find_start(self, batch: LogBatch) -> bool:
        least = max(batch.first - 1, self.state.applied + 1)
        for source in self._starting_points:
            state = source.find(least)
            if state is not None and self.replica.start_from(state):
                emit(logger, Event.STARTING_POINT_ADOPTED, as_of=state.applied)
                self._gap = False
                return True
        return False
