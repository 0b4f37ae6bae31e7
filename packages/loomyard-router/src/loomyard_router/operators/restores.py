"""A new start for a fleet whose configuration the log service has forgotten."""

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
    from loomyard.objects import ConfigObject
    from loomyard.outside.log_service import LogService
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.configuration.log_snapshots import LogSnapshots
    from loomyard_router.operators.fleet_status import FleetStatus

logger = logging.getLogger(__name__)

RESTORE_ID = "restore"
WAIT_SECONDS = 10.0


class Restores:
    """Write a snapshot of operators' objects as of the end of the log.

    Only where records are gone and no router that can be reached has any configuration: then
    there is nothing that the snapshot could revert.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        log: LogService,
        follower: ConfigFollower,
        snapshots: LogSnapshots,
        status: FleetStatus,
    ) -> None:
        self._clock = clock
        self._log = log
        self._follower = follower
        self._snapshots = snapshots
        self._status = status

    def restore(self, objects: list[ConfigObject]) -> Result[ChangeOutcome, Fault]:
        """Let the fleet start from the objects.

        Errors: ``CHANGE_REJECTED`` (nothing was written), ``LOG_UNAVAILABLE`` and
        ``LOG_ANSWER_LOST`` (an incomplete snapshot is of no effect).
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
        name = self._status.own().name
        notice = make_notice(state, writer=name, written_at=self._clock.wall())
        self._log.append(CONFIG_STREAM, encode(notice))
        emit(logger, Event.CONFIGURATION_RESTORED, as_of=offset, objects=len(objects))
        spread = self._status.await_in_force(offset, self._clock.now() + WAIT_SECONDS)
        return Ok(
            ChangeOutcome(
                change_id=RESTORE_ID,
                offset=offset,
                verdict=Verdict.ACCEPTED.value,
                in_force=spread.in_force,
                lagging=spread.lagging,
            )
        )

    def _find_refusal(self, objects: list[ConfigObject]) -> str | None:
        if not (self._follower.has_gap and self._follower.log_reachable):
            return "the log service has the records of the configuration, or cannot be reached"
        known, _ = self._status.collect()
        holders = [status.name for status in known if status.version != EMPTY_VERSION]
        if holders:
            return f"{', '.join(holders)} has a configuration and will give it to the others"
        puts = [Put(object=item) for item in objects]
        decision = decide(ConfigState(), Change(change_id=RESTORE_ID, puts=puts))
        return None if decision.verdict is Verdict.ACCEPTED else decision.detail
