"""Exchange of the configuration between routers, besides the log service."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

import gevent
from gevent.lock import RLock
from result import Err, Ok

from loomyard.configuration import (
    EMPTY_VERSION,
    SnapshotAssembly,
    pack,
    unpack,
)
from loomyard.events import Event, emit
from loomyard.external.log_service import MAX_READ_WAIT_SECONDS, READ_ANSWER_MARGIN_SECONDS
from loomyard_router.configuration.messages import (
    CURRENT_SNAPSHOT,
    PartAnswer,
    PartRequest,
    RecordsAnswer,
    RecordsRequest,
)
from loomyard_router.configuration.task_loop import run_repeatedly

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.configuration import ConfigState, SnapshotPart
    from loomyard.routing import Routing
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

logger = logging.getLogger(__name__)

REQUEST_SECONDS = 1.0
POLL_SECONDS = 0.5
# Peers are polled when the log service has not answered for longer than a read may take.
LOG_TIMEOUT_SECONDS = MAX_READ_WAIT_SECONDS + READ_ANSWER_MARGIN_SECONDS
PEERS_PER_POLL = 3
VERSION_TOPIC = "configuration"
VERSION_KEY = "version"
ANNOUNCEMENT_SECONDS = 60.0


class PeerConfiguration:
    """Fetches the configuration from peers while the log service does not answer, and serves it.

    A peer sends the unchanged records of the log, or its whole state where it no longer has the
    records, so a router folds to the same state from either source.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        follower: ConfigFollower,
        peers: PeerLinks,
        members: Membership,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._follower = follower
        self._peers = peers
        self._members = members
        self._rng = rng or random.Random()
        self._parts: tuple[SnapshotPart, ...] = ()
        self._parts_lock = RLock()
        self._task: gevent.Greenlet | None = None
        self._announced_version = EMPTY_VERSION
        peers.handle(RecordsRequest, self._answer_records)
        peers.handle(PartRequest, self._answer_part)

    def start(self) -> None:
        """Start polling peers while the log service is unresponsive or they announce more."""
        self._members.subscribe_topic(VERSION_TOPIC, self._record_announced)
        self._follower.subscribe(self._announce)
        self._task = gevent.spawn(run_repeatedly, self._clock, self._step)

    def stop(self) -> None:
        """Stop polling peers."""
        if self._task is not None:
            self._task.kill()

    def poll(self) -> bool:
        """Request newer records from random peers until one has any; return whether one had."""
        return any(self._fetch_records(name) for name in self._choose_peers(PEERS_PER_POLL))

    def find(self, min_offset: int) -> ConfigState | None:
        """Return the state of a peer that has applied ``min_offset`` or a later offset."""
        for name in self._choose_peers(PEERS_PER_POLL):
            state = self._fetch_state(name)
            if state is not None and state.applied >= min_offset:
                return state
        return None

    def _step(self) -> float:
        if self._is_log_unresponsive() or self._announced_version > self._follower.state.version:
            self.poll()
        return POLL_SECONDS

    def _record_announced(self, _: str, version: int) -> None:
        self._announced_version = max(self._announced_version, version)

    def _announce(self, routing: Routing) -> None:
        until = self._clock.now() + ANNOUNCEMENT_SECONDS
        self._members.announce(VERSION_TOPIC, VERSION_KEY, routing.version, until=until)

    def _is_log_unresponsive(self) -> bool:
        read_at = self._follower.read_at
        return read_at is None or self._clock.now() - read_at > LOG_TIMEOUT_SECONDS

    def _choose_peers(self, count: int) -> list[str]:
        own = self._members.own.name
        names = [member.name for member in self._members.live() if member.name != own]
        return self._rng.sample(names, min(count, len(names)))

    def _fetch_records(self, name: str) -> bool:
        replica = self._follower.replica
        before = replica.state.applied
        match self._request(name, RecordsRequest(offset=before + 1)):
            case RecordsAnswer(batch=batch, caught_up=caught_up):
                pass
            case _:
                return False
        self._follower.record_end(batch.end)
        if batch.first <= before + 1:
            replica.apply(batch.records)
        elif (state := self._fetch_state(name)) is not None and replica.adopt_newer(state):
            emit(logger, Event.STARTING_POINT_ADOPTED, as_of=state.applied, peer=name)
        if caught_up and replica.state.applied >= batch.end - 1:
            self._follower.record_caught_up()
        return replica.state.applied > before

    def _fetch_state(self, name: str) -> ConfigState | None:
        assembly = SnapshotAssembly()
        request = PartRequest()
        while True:
            match self._request(name, request):
                case PartAnswer(part=part) if part is not None:
                    assembly.add(part)
                case _:
                    return None
            if part.index + 1 >= part.count:
                break
            request = PartRequest(checksum=part.checksum, index=part.index + 1)
        return self._unpack(name, assembly)

    def _unpack(self, name: str, assembly: SnapshotAssembly) -> ConfigState | None:
        for parts in assembly.complete(min_offset=EMPTY_VERSION):
            match unpack(parts):
                case Ok(state):
                    return state
                case Err(detail):
                    emit(logger, Event.SNAPSHOT_UNUSABLE, peer=name, detail=detail)
        return None

    def _request(self, name: str, message: object) -> object:
        deadline = self._clock.now() + REQUEST_SECONDS
        return self._peers.request(name, message, deadline).unwrap_or(None)

    def _answer_records(self, _: Member, request: RecordsRequest) -> RecordsAnswer:
        batch = self._follower.replica.tail.read(request.offset)
        return RecordsAnswer(batch=batch, caught_up=self._follower.ready)

    def _answer_part(self, _: Member, request: PartRequest) -> PartAnswer:
        if request.checksum == CURRENT_SNAPSHOT:
            self._refresh_parts()
        parts = self._parts
        if not parts or request.checksum not in (CURRENT_SNAPSHOT, parts[0].checksum):
            return PartAnswer()
        if not 0 <= request.index < len(parts):
            return PartAnswer()
        return PartAnswer(part=parts[request.index])

    def _refresh_parts(self) -> None:
        with self._parts_lock:
            state = self._follower.state
            if state.version == EMPTY_VERSION:
                self._parts = ()
            elif not self._parts or self._parts[0].as_of != state.applied:
                self._parts = pack(state)
