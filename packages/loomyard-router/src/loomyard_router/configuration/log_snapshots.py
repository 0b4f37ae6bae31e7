"""Snapshots of the configuration on a stream of the log service."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.codec import decode, encode
from loomyard.configuration import SnapshotAssembly, SnapshotPart, pack, unpack
from loomyard.events import Event, emit

if TYPE_CHECKING:
    from loomyard.configuration import ConfigState
    from loomyard.errors import Fault
    from loomyard.external.log_service import LogService

logger = logging.getLogger(__name__)

SNAPSHOT_STREAM = "loomyard.configuration.snapshots"
PARTS_PER_READ = 8


class LogSnapshots:
    """Writes and finds snapshots.

    They have a stream of their own, so that only routers that need a snapshot read the parts.
    """

    def __init__(self, log: LogService) -> None:
        self._log = log

    def write(self, state: ConfigState) -> Result[int, Fault]:
        """Append all parts of a state and return their number.

        An append whose answer was lost is not retried: the snapshot is aborted, and its parts do
        not disturb a later one. Errors are those of ``LogService.append``.
        """
        parts = pack(state)
        for part in parts:
            appended = self._log.append(SNAPSHOT_STREAM, encode(part))
            if appended.is_err():
                return Err(appended.unwrap_err())
        return Ok(len(parts))

    def find(self, min_offset: int) -> ConfigState | None:
        """Return the newest complete and valid snapshot as of ``min_offset`` or later."""
        assembly = SnapshotAssembly()
        if not self._read_parts(assembly):
            return None
        for parts in assembly.complete(min_offset=min_offset):
            match unpack(parts):
                case Ok(state):
                    return state
                case Err(detail):
                    emit(logger, Event.SNAPSHOT_UNUSABLE, as_of=parts[0].as_of, detail=detail)
        return None

    def _read_parts(self, assembly: SnapshotAssembly) -> bool:
        offset = 0
        while True:
            match self._log.read(SNAPSHOT_STREAM, offset, limit=PARTS_PER_READ):
                case Ok(batch):
                    pass
                case _:
                    return False
            for record in batch.records:
                decode(record.payload, SnapshotPart).map(assembly.add)
                offset = record.offset + 1
            if not batch.records:
                return True
