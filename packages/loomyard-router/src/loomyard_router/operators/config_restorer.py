"""Restore of the configuration after the log service has lost it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.codec import encode
from loomyard.configuration import (
    CONFIG_STREAM,
    EMPTY_VERSION,
    Change,
    ConfigState,
    Put,
    Verdict,
    VersionedObject,
    decide,
    make_notice,
    make_state,
)
from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard_router.operators.documents import ChangeOutcome

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.external.log_service import LogService
    from loomyard.objects import ConfigObject
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.configuration.log_snapshots import LogSnapshots
    from loomyard_router.operators.fleet_status import FleetStatus

logger = logging.getLogger(__name__)

RESTORE_ID = "restore"
WAIT_SECONDS = 10.0


class ConfigRestorer:
    """Writes a snapshot of objects given by operators, as of the end of the log.

    Allowed only where records are missing and no reachable router has a configuration, so that the
    snapshot can't revert anything.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        log: LogService,
        follower: ConfigFollower,
        snapshots: LogSnapshots,
        fleet_status: FleetStatus,
    ) -> None:
        self._clock = clock
        self._log = log
        self._follower = follower
        self._snapshots = snapshots
        self._fleet_status = fleet_status

    def restore(self, objects: list[ConfigObject]) -> Result[ChangeOutcome, Fault]:
        """Write a snapshot of the objects and wait until the routers have adopted it.

        Errors: ``CHANGE_REJECTED`` (nothing was written), ``LOG_UNAVAILABLE`` and
        ``LOG_ANSWER_LOST`` (an incomplete snapshot has no effect).
        """
        if (refusal := self._find_refusal(objects)) is not None:
            return Err(Fault(code=ResultCode.CHANGE_REJECTED, detail=refusal))
        read = self._log.read(CONFIG_STREAM, 0, limit=1)
        if read.is_err():
            return Err(read.unwrap_err())
        offset = read.unwrap().end - 1
        items = [VersionedObject(item, offset) for item in objects]
        state = make_state(items, version=offset, applied=offset)
        written = self._snapshots.write(state)
        if written.is_err():
            return Err(written.unwrap_err())
        name = self._fleet_status.own().name
        notice = make_notice(state, writer=name, written_at=self._clock.wall())
        self._log.append(CONFIG_STREAM, encode(notice))
        emit(logger, Event.CONFIGURATION_RESTORED, as_of=offset, objects=len(objects))
        reached = self._fleet_status.await_in_force(offset, self._clock.now() + WAIT_SECONDS)
        return Ok(
            ChangeOutcome(
                change_id=RESTORE_ID,
                offset=offset,
                verdict=Verdict.ACCEPTED.value,
                in_force=reached.in_force,
                lagging=reached.lagging,
            )
        )

    def _find_refusal(self, objects: list[ConfigObject]) -> str | None:
        if not (self._follower.has_gap and self._follower.log_reachable):
            return "the log service has the records of the configuration, or cannot be reached"
        known, _ = self._fleet_status.collect()
        holders = [status.name for status in known if status.version != EMPTY_VERSION]
        if holders:
            return f"{', '.join(holders)} has a configuration, which the other routers will adopt"
        puts = [Put(object=item) for item in objects]
        decision = decide(ConfigState(), Change(change_id=RESTORE_ID, puts=puts))
        return None if decision.verdict is Verdict.ACCEPTED else decision.detail
