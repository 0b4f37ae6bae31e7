"""The configuration of this router: the state, what follows from it and who is told."""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as GeventEvent
from gevent.lock import RLock

from loomyard.configuration import (
    Change,
    ConfigState,
    SnapshotNotice,
    Verdict,
    fold_record,
    format_digest,
)
from loomyard.events import Event, emit
from loomyard.objects import ref_of
from loomyard.routing import Routing
from loomyard.util.collector import exempt_from_collection
from loomyard_router.configuration.record_tail import RecordTail
from loomyard_router.configuration.settled_change import SettledChange

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from loomyard.configuration import FoldedRecord
    from loomyard.objects import ObjectRef
    from loomyard.outside.log_service import LogRecord

logger = logging.getLogger(__name__)

REMEMBERED_CHANGES = 10_000
LARGE_RECORD_BYTES = 16 * 1024
REMEMBERED_DIGESTS = 1000


class ConfigReplica:
    """Fold records in log order; neither version nor applied offset ever goes down."""

    def __init__(self) -> None:
        self.tail = RecordTail()
        self._state = ConfigState()
        self._routing = Routing(self._state)
        self._notice: SnapshotNotice | None = None
        self._settled: OrderedDict[str, SettledChange] = OrderedDict()
        self._digests: OrderedDict[int, str] = OrderedDict()
        self._listeners: list[Callable[[Routing], None]] = []
        self._lock = RLock()
        self._moved = GeventEvent()

    @property
    def state(self) -> ConfigState:
        return self._state

    @property
    def routing(self) -> Routing:
        return self._routing

    @property
    def notice(self) -> SnapshotNotice | None:
        """Return the newest notice of a snapshot that was read."""
        return self._notice

    def subscribe(self, listener: Callable[[Routing], None]) -> None:
        """Call back with each configuration that comes into force."""
        self._listeners.append(listener)

    def settled(self, change_id: str) -> SettledChange | None:
        """Return what was decided about a change, once it was read."""
        return self._settled.get(change_id)

    def await_move(self, seconds: float) -> None:
        """Wait until records were applied, for some seconds at most."""
        self._moved.wait(seconds)

    def take(self, records: Iterable[LogRecord]) -> None:
        """Fold records; those applied before change nothing."""
        with self._lock:
            changed: set[ObjectRef] = set()
            state = self._state
            for record in records:
                folded = fold_record(state, record.offset, record.payload)
                if folded.decision.verdict is Verdict.REPEATED:
                    continue
                state = folded.state
                self.tail.add(record)
                self._note(record.offset, folded)
                changed |= _changed_refs(folded)
                if len(record.payload) >= LARGE_RECORD_BYTES:
                    gevent.sleep(0)  # others run while a long log is folded
            if state is not self._state:
                self._adopt(state, Routing(state, self._routing, changed) if changed else None)

    def start_from(self, state: ConfigState) -> bool:
        """Take over a state that includes later records than the own; false for any other."""
        with self._lock:
            if state.applied <= self._state.applied or state.version < self._state.version:
                return False
            self.tail.restart(state.applied + 1)
            self._remember_digest(state)
            self._adopt(state, Routing(state))
            exempt_from_collection(len(state.objects))
            return True

    def _note(self, offset: int, folded: FoldedRecord) -> None:
        match folded.record:
            case Change(change_id=change_id):
                self._remember(
                    SettledChange(change_id=change_id, offset=offset, decision=folded.decision)
                )
                self._remember_digest(folded.state)
            case SnapshotNotice() as notice:
                self._compare(notice)
            case None:
                emit(logger, Event.RECORD_INVALID, offset=offset, detail=folded.decision.detail)

    def _remember(self, settled: SettledChange) -> None:
        self._settled.setdefault(settled.change_id, settled)
        if len(self._settled) > REMEMBERED_CHANGES:
            self._settled.popitem(last=False)
        if settled.decision.verdict is not Verdict.ACCEPTED:
            emit(
                logger,
                Event.CONFIGURATION_REJECTED,
                offset=settled.offset,
                change=settled.change_id,
                verdict=settled.decision.verdict.value,
                detail=settled.decision.detail,
            )

    def _remember_digest(self, state: ConfigState) -> None:
        self._digests[state.version] = format_digest(state.digest)
        if len(self._digests) > REMEMBERED_DIGESTS:
            self._digests.popitem(last=False)

    def _compare(self, notice: SnapshotNotice) -> None:
        if self._notice is None or notice.snapshot_of >= self._notice.snapshot_of:
            self._notice = notice
        own = self._digests.get(notice.version)
        if own is not None and own != notice.digest:
            emit(
                logger,
                Event.CONFIGURATION_DIVERGED,
                version=notice.version,
                own=own,
                other=notice.digest,
                writer=notice.writer,
            )

    def _adopt(self, state: ConfigState, routing: Routing | None) -> None:
        self._state = state
        if routing is not None:
            self._routing = routing
            emit(logger, Event.CONFIGURATION_ADOPTED, version=state.version)
            for listener in self._listeners:
                self._tell(listener, routing)
        moved, self._moved = self._moved, GeventEvent()
        moved.set()

    def _tell(self, listener: Callable[[Routing], None], routing: Routing) -> None:
        try:
            listener(routing)
        except Exception as error:  # one part's fault must not keep others from the version
            emit(logger, Event.HANDLER_FAILED, handler=repr(listener), error=repr(error))
            logger.exception("listener failed")


def _changed_refs(folded: FoldedRecord) -> set[ObjectRef]:
    if not isinstance(folded.record, Change):
        return set()
    if folded.decision.verdict is not Verdict.ACCEPTED:
        return set()
    refs = {ref_of(put.object) for put in folded.record.puts}
    return refs | {deletion.ref for deletion in folded.record.deletions}
