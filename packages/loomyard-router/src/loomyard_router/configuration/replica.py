"""The configuration of this router: its state, the routing made from it, and its listeners."""

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
from loomyard_router.supervision.listeners import Listeners

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from loomyard.configuration import FoldedRecord
    from loomyard.external.log_service import LogRecord
    from loomyard.objects import ObjectRef

logger = logging.getLogger(__name__)

MAX_REMEMBERED_CHANGES = 10_000
# Folding yields to other greenlets after each record of this size or larger.
LARGE_RECORD_BYTES = 16 * 1024
MAX_REMEMBERED_DIGESTS = 1000


class ConfigReplica:
    """Folds records in log order; neither version nor applied offset ever decreases."""

    def __init__(self) -> None:
        self.tail = RecordTail()
        self._state = ConfigState()
        self._routing = Routing(self._state)
        self._snapshot_notice: SnapshotNotice | None = None
        self._settled: OrderedDict[str, SettledChange] = OrderedDict()
        self._digests: OrderedDict[int, str] = OrderedDict()
        self._listeners = Listeners("configuration")
        self._lock = RLock()
        self._updated = GeventEvent()

    @property
    def state(self) -> ConfigState:
        return self._state

    @property
    def routing(self) -> Routing:
        return self._routing

    @property
    def snapshot_notice(self) -> SnapshotNotice | None:
        """Return the notice of the newest snapshot that the stream has announced."""
        return self._snapshot_notice

    def subscribe(self, listener: Callable[[Routing], None]) -> None:
        """Register a callback for each configuration that comes into force."""
        self._listeners.subscribe(listener)

    def settled(self, change_id: str) -> SettledChange | None:
        """Return a change with its decision, or ``None`` if it was not read or is too old."""
        return self._settled.get(change_id)

    def await_update(self, seconds: float) -> None:
        """Wait until records are applied, at most ``seconds``."""
        self._updated.wait(seconds)

    def apply(self, records: Iterable[LogRecord]) -> None:
        """Fold records; those already applied are ignored."""
        with self._lock:
            changed: set[ObjectRef] = set()
            state = self._state
            for record in records:
                folded = fold_record(state, record.offset, record.payload)
                if folded.decision.verdict is Verdict.REPEATED:
                    continue
                state = folded.state
                self.tail.add(record)
                self._record(record.offset, folded)
                changed |= _changed_refs(folded)
                if len(record.payload) >= LARGE_RECORD_BYTES:
                    gevent.sleep(0)
            if state is not self._state:
                self._replace_state(
                    state, Routing(state, self._routing, changed) if changed else None
                )

    def adopt_newer(self, state: ConfigState) -> bool:
        """Replace the state by one with later records applied; return false for any other."""
        with self._lock:
            if state.applied <= self._state.applied or state.version < self._state.version:
                return False
            self.tail.reset(state.applied + 1)
            self._remember_digest(state)
            self._replace_state(state, Routing(state))
            exempt_from_collection(len(state.objects))
            return True

    def _record(self, offset: int, folded: FoldedRecord) -> None:
        match folded.record:
            case Change(change_id=change_id):
                self._remember_settled(
                    SettledChange(change_id=change_id, offset=offset, decision=folded.decision)
                )
                self._remember_digest(folded.state)
            case SnapshotNotice() as notice:
                self._check_digest(notice)
            case None:
                emit(logger, Event.RECORD_INVALID, offset=offset, detail=folded.decision.detail)

    def _remember_settled(self, settled: SettledChange) -> None:
        self._settled.setdefault(settled.change_id, settled)
        if len(self._settled) > MAX_REMEMBERED_CHANGES:
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
        if len(self._digests) > MAX_REMEMBERED_DIGESTS:
            self._digests.popitem(last=False)

    def _check_digest(self, notice: SnapshotNotice) -> None:
        if self._snapshot_notice is None or notice.snapshot_of >= self._snapshot_notice.snapshot_of:
            self._snapshot_notice = notice
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

    def _replace_state(self, state: ConfigState, routing: Routing | None) -> None:
        self._state = state
        if routing is not None:
            self._routing = routing
            emit(logger, Event.CONFIGURATION_ADOPTED, version=state.version)
            self._listeners.notify(routing)
        updated, self._updated = self._updated, GeventEvent()
        updated.set()


def _changed_refs(folded: FoldedRecord) -> set[ObjectRef]:
    if not isinstance(folded.record, Change):
        return set()
    if folded.decision.verdict is not Verdict.ACCEPTED:
        return set()
    refs = {ref_of(put.object) for put in folded.record.puts}
    return refs | {deletion.ref for deletion in folded.record.deletions}
