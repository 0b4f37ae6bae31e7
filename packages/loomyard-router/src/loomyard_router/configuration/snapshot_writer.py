"""Periodic snapshots of the configuration by one router of the fleet."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok

from loomyard.codec import encode
from loomyard.configuration import CONFIG_STREAM, EMPTY_VERSION, make_notice
from loomyard.events import Event, emit
from loomyard.rendezvous import choose
from loomyard_router.configuration.task_loop import run_repeatedly

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.configuration import ConfigState
    from loomyard.external.log_service import LogService
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.configuration.log_snapshots import LogSnapshots
    from loomyard_router.members.membership import Membership

logger = logging.getLogger(__name__)

CHECK_SECONDS = 10.0
SNAPSHOT_EVERY_RECORDS = 1000
# A snapshot is due at this fraction of the log's retention after the newest one: three in a row
# may fail before the newest is older than the retention.
SNAPSHOT_AGE_FRACTION = 0.25
WRITER_KEY = "loomyard.configuration.snapshot"


class SnapshotWriter:
    """Keeps a snapshot on the log that is younger than the log's retention.

    The writer is chosen by rendezvous hash over the live routers. Two writers, or a writer whose
    process was paused, are harmless: a router adopts a snapshot only if it is newer than its state.
    """

    def __init__(
        self,
        *,
        log: LogService,
        clock: Clock,
        follower: ConfigFollower,
        snapshots: LogSnapshots,
        members: Membership,
        retention: float,
    ) -> None:
        self._log = log
        self._clock = clock
        self._follower = follower
        self._snapshots = snapshots
        self._members = members
        self._max_snapshot_age = retention * SNAPSHOT_AGE_FRACTION
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the periodic check."""
        self._task = gevent.spawn(run_repeatedly, self._clock, self._step)

    def stop(self) -> None:
        """Stop the periodic check."""
        if self._task is not None:
            self._task.kill()

    def check(self) -> bool:
        """Write a snapshot if one is due and this router is its writer; return whether it did."""
        follower = self._follower
        if not (follower.ready and follower.log_reachable and self._is_due()):
            return False
        names = [member.name for member in self._members.live()]
        if choose(WRITER_KEY, names) != self._members.own.name:
            return False
        return self._write(follower.state)

    def _is_due(self) -> bool:
        state, notice = self._follower.state, self._follower.replica.snapshot_notice
        if state.version == EMPTY_VERSION:
            return False
        if notice is None:
            return True
        if self._clock.wall() - notice.written_at >= self._max_snapshot_age:
            return True
        return state.applied - notice.snapshot_of >= SNAPSHOT_EVERY_RECORDS

    def _write(self, state: ConfigState) -> bool:
        match self._snapshots.write(state):
            case Err(fault):
                emit(logger, Event.SNAPSHOT_FAILED, code=int(fault.code), detail=fault.detail)
                return False
            case Ok(count):
                emit(logger, Event.SNAPSHOT_WRITTEN, as_of=state.applied, parts=count)
        name, wall = self._members.own.name, self._clock.wall()
        notice = make_notice(state, writer=name, written_at=wall)
        return self._log.append(CONFIG_STREAM, encode(notice)).is_ok()

    def _step(self) -> float:
        self.check()
        return CHECK_SECONDS
