"""Follow the configuration stream of the log service."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from result import Ok

from loomyard.codec import decode
from loomyard.configuration import Change, ConfigState, Verdict, fold
from loomyard.events import Event, emit
from loomyard.routing import Routing

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.platform.log_service import LogRecord, LogService

logger = logging.getLogger(__name__)

CONFIG_STREAM = "loomyard.configuration"
READ_WAIT = 2.0
RETRY_SECONDS = 0.2
REMEMBERED_VERDICTS = 10_000


class ConfigFollower:
    """Fold records in log order; the state is a function of the log alone."""

    def __init__(self, log: LogService, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._state = ConfigState()
        self._routing = Routing(self._state)
        self._verdicts: dict[str, Verdict] = {}
        self._listeners: list[Callable[[Routing], None]] = []
        self._task: gevent.Greenlet | None = None
        self._reachable = True

    @property
    def state(self) -> ConfigState:
        return self._state

    @property
    def routing(self) -> Routing:
        return self._routing

    def verdict(self, change_id: str) -> Verdict | None:
        """Return what was decided about a change, once it was read."""
        return self._verdicts.get(change_id)

    def subscribe(self, listener: Callable[[Routing], None]) -> None:
        """Call back with each configuration that comes into force."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start to follow."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop to follow."""
        if self._task is not None:
            self._task.kill()

    def poll(self, wait: float = 0.0) -> bool:
        """Read and fold once; false where the log service did not answer."""
        match self._log.read(CONFIG_STREAM, self._state.applied + 1, wait=wait):
            case Ok(batch):
                for record in batch.records:
                    self._apply(record)
                return True
        return False

    def _run(self) -> None:
        while True:
            reachable = self.poll(READ_WAIT)
            if reachable != self._reachable:
                self._reachable = reachable
                emit(logger, Event.LOG_RECOVERED if reachable else Event.LOG_UNAVAILABLE)
            if not reachable:
                self._clock.sleep(RETRY_SECONDS)

    def _apply(self, record: LogRecord) -> None:
        match decode(record.payload, Change):
            case Ok(change):
                state, verdict = fold(self._state, record.offset, change)
                self._remember(change, verdict)
            case _:
                emit(logger, Event.RECORD_INVALID, offset=record.offset)
                state = self._state.advance(record.offset)
        self._adopt(state)

    def _remember(self, change: Change, verdict: Verdict) -> None:
        self._verdicts.setdefault(change.change_id, verdict)
        if len(self._verdicts) > REMEMBERED_VERDICTS:
            del self._verdicts[next(iter(self._verdicts))]

    def _adopt(self, state: ConfigState) -> None:
        changed = state.version != self._state.version
        self._state = state
        if not changed:
            return
        self._routing = Routing(state)
        emit(logger, Event.CONFIGURATION_ADOPTED, version=state.version)
        for listener in self._listeners:
            listener(self._routing)
