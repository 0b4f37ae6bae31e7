"""Lookup of the origin of a stream at the routers that host its record."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from gevent.queue import Queue
from result import Ok

from loomyard_router.streams.origin_messages import (
    OriginQuery,
    OriginReply,
    encode_record,
    make_origin,
)
from loomyard_router.streams.stream_origin import StreamOrigin
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.members.membership import Member
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.streams.origin_history import OriginHistory
    from loomyard_router.streams.origin_replicator import OriginReplicator
    from loomyard_router.streams.origin_table import OriginTable

# A caller may come before the record of its stream, which a busy router sends late.
SECOND_LOOK_SECONDS = 0.02
OWN, SOLE = "own", "sole"


@frozen(kw_only=True)
class FoundOrigin:
    """The origin of a stream and who told it: ``OWN``, ``SOLE`` or the name of a router."""

    origin: StreamOrigin
    told_by: str


@frozen(kw_only=True)
class MissingOrigin:
    """No origin was found; ``silent`` names the routers that were asked and did not reply."""

    silent: tuple[str, ...]


class OriginLookup:
    """Find what began a stream: in the own records, at the hosts, or as the only possibility."""

    def __init__(
        self,
        *,
        clock: Clock,
        table: OriginTable,
        replicator: OriginReplicator,
        history: OriginHistory,
        peers: PeerLinks,
    ) -> None:
        self._clock = clock
        self._table = table
        self._replicator = replicator
        self._history = history
        self._peers = peers
        peers.handle(OriginQuery, self.answer)

    def answer(self, _: Member, query: OriginQuery) -> OriginReply:
        """Return the record of a stream, or what streams of its route may have begun at."""
        record = self._table.find(query.attempt_id)
        if record is not None:
            return OriginReply(entry=encode_record(record, self._clock.now()))
        possible = self._history.possible(query.route)
        return OriginReply(
            possible=sorted((one.service, one.software_version) for one in possible),
            observed_seconds=int(min(self._history.observed_seconds, 1e6)),
        )

    def find(
        self, attempt_id: str, route: str, *, key: str, deadline: float
    ) -> FoundOrigin | MissingOrigin:
        """Return the origin of a stream, looked up until a deadline.

        ``attempt_id`` is empty where the caller names none; any routers are asked by ``key`` then
        which origins are possible.
        """
        query = OriginQuery(attempt_id=attempt_id, route=route)
        hosts = self._replicator.find_candidates(attempt_id or key)
        replies: dict[str, OriginReply] = {}
        for _ in range(2):
            record = self._table.find(attempt_id)
            if record is not None:
                return FoundOrigin(origin=record.origin, told_by=OWN)
            found = self._ask(hosts, query, deadline, replies)
            if found is not None:
                return found
            if not attempt_id or self._clock.now() + SECOND_LOOK_SECONDS >= deadline:
                break
            self._clock.sleep(SECOND_LOOK_SECONDS)
        return self._find_sole(route, hosts, replies)

    def _ask(
        self, hosts: list[str], query: OriginQuery, deadline: float, replies: dict[str, OriginReply]
    ) -> FoundOrigin | None:
        """Ask all hosts at once; return the first origin, and add the other replies."""
        received: Queue = Queue()
        for name in hosts:
            start_task("stream lookup", self._ask_one, name, query, deadline, received)
        for _ in hosts:
            name, reply = received.get()
            if reply is None:
                continue
            if reply.entry is not None:
                return FoundOrigin(origin=make_origin(reply.entry), told_by=name)
            replies[name] = reply
        return None

    def _ask_one(self, name: str, query: OriginQuery, deadline: float, received: Queue) -> None:
        reply: OriginReply | None = None
        try:
            match self._peers.request(name, query, deadline):
                case Ok(OriginReply() as reply):
                    pass
        finally:
            received.put((name, reply))

    def _find_sole(
        self, route: str, hosts: list[str], replies: dict[str, OriginReply]
    ) -> FoundOrigin | MissingOrigin:
        """Return the only origin that streams of a route can have, if there is just one."""
        silent = tuple(name for name in hosts if name not in replies)
        missing = MissingOrigin(silent=silent)
        if not replies and (hosts or self._history.had_others):
            # Others may know of an origin that this router does not. If it takes them all for dead,
            # it may be cut off from them; the streams that it began itself have records.
            return missing
        possible = set(self._history.possible(route))
        observed = self._history.observed_seconds
        for reply in replies.values():
            possible |= {StreamOrigin(service=s, software_version=v) for s, v in reply.possible}
            observed = max(observed, reply.observed_seconds)
        origin = self._history.choose_sole(route, possible, observed)
        return missing if origin is None else FoundOrigin(origin=origin, told_by=SOLE)
