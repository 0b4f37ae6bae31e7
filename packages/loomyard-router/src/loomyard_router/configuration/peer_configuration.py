"""Give the configuration to peers and take it from them."""

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
from loomyard.outside.log_service import READ_ANSWER_SECONDS, READ_WAIT
from loomyard_router.configuration.messages import (
    ANY_SNAPSHOT,
    PartAnswer,
    PartRequest,
    RecordsAnswer,
    RecordsRequest,
)
from loomyard_router.configuration.repeating import repeat

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
LOG_SILENCE = READ_WAIT + READ_ANSWER_SECONDS
PEERS_ASKED = 3
VERSION_TOPIC = "configuration"
VERSION_KEY = "version"
ANNOUNCED_SECONDS = 60.0


class PeerConfiguration:
    """Stand in for the log service between routers.

    A peer gives the very records of the log, or its whole state where those do not reach back;
    so what a router folds is the same wherever it got it from.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        follower: ConfigFollower,
        peers: PeerLinks,
        members: Membership,
        choice: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._follower = follower
        self._peers = peers
        self._members = members
        self._choice = choice or random.Random()
        self._packed: tuple[SnapshotPart, ...] = ()
        self._packing = RLock()
        self._task: gevent.Greenlet | None = None
        self._heard_version = EMPTY_VERSION
        peers.handle(RecordsRequest, self._give_records)
        peers.handle(PartRequest, self._give_part)

    def start(self) -> None:
        """Start to ask peers while the log service does not answer or they know more."""
        self._members.subscribe_topic(VERSION_TOPIC, self._hear)
        self._follower.subscribe(self._announce)
        self._task = gevent.spawn(repeat, self._clock, self._step)

    def stop(self) -> None:
        """Stop to ask."""
        if self._task is not None:
            self._task.kill()

    def poll(self) -> bool:
        """Ask some peers in turn for newer records, until any came; tell whether any did."""
        return any(self._ask(name) for name in self._choose_peers(PEERS_ASKED))

    def find(self, least: int) -> ConfigState | None:
        """Return the state of a peer that has applied offset ``least`` or a later one."""
        for name in self._choose_peers(PEERS_ASKED):
            state = self._fetch_state(name)
            if state is not None and state.applied >= least:
                return state
        return None

    def _step(self) -> float:
        if self._log_is_silent() or self._heard_version > self._follower.state.version:
            self.poll()
        return POLL_SECONDS

    def _hear(self, _: str, version: int) -> None:
        self._heard_version = max(self._heard_version, version)

    def _announce(self, routing: Routing) -> None:
        until = self._clock.now() + ANNOUNCED_SECONDS
        self._members.announce(VERSION_TOPIC, VERSION_KEY, routing.version, until=until)

    def _log_is_silent(self) -> bool:
        read_at = self._follower.read_at
        return read_at is None or self._clock.now() - read_at > LOG_SILENCE

    def _choose_peers(self, count: int) -> list[str]:
        own = self._members.own.name
        names = [member.name for member in self._members.live() if member.name != own]
        return self._choice.sample(names, min(count, len(names)))

    def _ask(self, name: str) -> bool:
        replica = self._follower.replica
        before = replica.state.applied
        match self._request(name, RecordsRequest(offset=before + 1)):
            case RecordsAnswer(batch=batch, caught_up=caught_up):
                pass
            case _:
                return False
        self._follower.note_end(batch.end)
        if batch.first <= before + 1:
            replica.take(batch.records)
        elif (state := self._fetch_state(name)) is not None and replica.start_from(state):
            emit(logger, Event.STARTING_POINT_ADOPTED, as_of=state.applied, peer=name)
        if caught_up and replica.state.applied >= batch.end - 1:
            self._follower.note_caught_up()
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
        for parts in assembly.complete(least=EMPTY_VERSION):
            match unpack(parts):
                case Ok(state):
                    return state
                case Err(detail):
                    emit(logger, Event.SNAPSHOT_UNUSABLE, peer=name, detail=detail)
        return None

    def _request(self, name: str, message: object) -> object:
        deadline = self._clock.now() + REQUEST_SECONDS
        return self._peers.request(name, message, deadline).unwrap_or(None)

    def _give_records(self, _: Member, request: RecordsRequest) -> RecordsAnswer:
        batch = self._follower.replica.tail.read(request.offset)
        return RecordsAnswer(batch=batch, caught_up=self._follower.ready)

    def _give_part(self, _: Member, request: PartRequest) -> PartAnswer:
        if request.checksum == ANY_SNAPSHOT:
            self._pack()
        parts = self._packed
        if not parts or request.checksum not in (ANY_SNAPSHOT, parts[0].checksum):
            return PartAnswer()
        if not 0 <= request.index < len(parts):
            return PartAnswer()
        return PartAnswer(part=parts[request.index])

    def _pack(self) -> None:
        with self._packing:
            state = self._follower.state
            if state.version == EMPTY_VERSION:
                self._packed = ()
            elif not self._packed or self._packed[0].as_of != state.applied:
                self._packed = pack(state)
