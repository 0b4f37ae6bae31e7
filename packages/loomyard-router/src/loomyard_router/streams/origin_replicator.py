"""Replication of the records of streams to the routers that host them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from loomyard_router.streams.host_ring import HostRing
from loomyard_router.streams.origin_messages import OriginUpdate, decode_entry, encode_record
from loomyard_router.streams.origin_record import OriginRecord
from loomyard_router.streams.origin_table import MAX_RECORDS
from loomyard_router.supervision.tasks import start_supervised, start_task

if TYPE_CHECKING:
    import gevent

    from loomyard.clock import Clock
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.streams.origin_history import OriginHistory
    from loomyard_router.streams.origin_table import OriginTable

# Hosts of a record besides the router that serves the stream: where that one and another end at
# the same moment, a copy is left.
HOSTS = 2
# Delay that batches records to the same host.
BATCH_SECONDS = 0.005
# Routers often join and end several at a time.
MEMBERS_BATCH_SECONDS = 0.05
SWEEP_SECONDS = 1.0
MAX_ENTRIES = 2000
# Records that are sent again at a time.
RESEND_COUNT = 8


@define(eq=False)
class _OwnRecord:
    """A record of this router, and the incarnations of hosts to which it was sent."""

    record: OriginRecord
    route: str
    sent_to: set[tuple[str, int]] = field(factory=set)


class OriginReplicator:
    """Keep the record of each stream that this router serves at its hosts.

    The hosts follow from the attempt id, so any router finds them. When routers join, restart or
    end, the records that concerns are sent again; a router that stops hands over those of streams
    whose router has ended. While streams of a route can have one origin only, their records stay
    here, until that changes.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        table: OriginTable,
        history: OriginHistory,
        members: Membership,
        peers: PeerLinks,
    ) -> None:
        self._clock = clock
        self._history = history
        self._table = table
        self._members = members
        self._peers = peers
        self._ring = HostRing()
        self._incarnations: dict[str, int] = {}
        self._own: dict[str, _OwnRecord] = {}
        self._queued: dict[str, list[OriginRecord]] = {}
        self._has_failed = False
        self._is_resending = False
        self._members_changed = True
        self._task: gevent.Greenlet | None = None
        peers.handle(OriginUpdate, self.receive)

    def start(self) -> None:
        """Start to send again what hosts lack, and to drop what has expired."""
        self._members.subscribe(self._on_members_changed)
        self._history.subscribe(self._schedule_resend)
        self._task = start_supervised("stream records", self._clock, self._run)

    def stop(self) -> None:
        """End the tasks."""
        if self._task is not None:
            self._task.kill(block=False)

    def find_hosts(self, attempt_id: str) -> list[str]:
        """Return the routers to which this one sends the record of a stream."""
        return self.find_candidates(attempt_id)[:HOSTS]

    def find_candidates(self, attempt_id: str) -> list[str]:
        """Return the other routers that may have the record of a stream.

        The router that serves the stream may be among the first ones itself, so there is one more.
        """
        self._refresh_ring()
        names = self._ring.choose(attempt_id, HOSTS + 1)
        return [name for name in names if name != self._members.own.name]

    def publish(self, record: OriginRecord, route: str) -> list[str]:
        """Keep the record of a stream that this router serves; return the hosts it is sent to."""
        own = _OwnRecord(self._table.add(record), route)
        self._own[record.attempt_id] = own
        if len(self._own) > MAX_RECORDS:
            del self._own[next(iter(self._own))]
        if self._history.find_sole(route) is not None:
            return []
        self._queue_missing(own)
        return self.find_hosts(record.attempt_id)

    def release(self, attempt_id: str) -> None:
        """Record that a stream is complete; its record only expires from now on."""
        self._own.pop(attempt_id, None)

    def hand_over(self) -> None:
        """Send records to hosts that no other router would send them, before a planned stop.

        These are the own ones, and those of streams whose router has ended.
        """
        self._refresh_ring()
        for own in self._own.values():
            self._queue_missing(own)
        for record in self._table.records():
            has_ended = self._incarnations.get(record.router) != record.incarnation
            if has_ended and record.attempt_id not in self._own:
                for name in self.find_hosts(record.attempt_id):
                    self._queue(name, record)

    def receive(self, sender: Member, update: OriginUpdate) -> None:
        """Add records that another router sent."""
        now = self._clock.now()
        for entry in update.entries:
            record = decode_entry(entry, now, sender)
            if record is not None:
                self._table.add(record)

    def sweep(self) -> None:
        """Drop expired records, and send again what could not be sent."""
        self._table.expire()
        now = self._clock.now()
        for own in list(self._own.values()):
            if own.record.until <= now:
                del self._own[own.record.attempt_id]
        if self._has_failed:
            self._has_failed = False
            self._schedule_resend()

    def _schedule_resend(self) -> None:
        if not self._is_resending:
            start_task("stream records", self._resend)
            self._is_resending = True

    def _resend(self) -> None:
        """Send the records that hosts lack, a few at a time, as links may have to be opened."""
        self._clock.sleep(BATCH_SECONDS)
        self._is_resending = False
        routes = {own.route for own in self._own.values()}
        sole = {route for route in routes if self._history.find_sole(route) is not None}
        missing = [own for own in self._own.values() if own.route not in sole]
        for first in range(0, len(missing), RESEND_COUNT):
            for own in missing[first : first + RESEND_COUNT]:
                self._queue_missing(own)
            self._clock.sleep(BATCH_SECONDS)

    def _queue_missing(self, own: _OwnRecord) -> None:
        for name in self.find_hosts(own.record.attempt_id):
            host = (name, self._incarnations[name])
            if host not in own.sent_to:
                own.sent_to.add(host)
                self._queue(name, own.record)

    def _queue(self, name: str, record: OriginRecord) -> None:
        if name not in self._queued:
            start_task("stream records", self._send, name)
            self._queued[name] = []
        self._queued[name].append(record)

    def _send(self, name: str) -> None:
        self._clock.sleep(BATCH_SECONDS)
        records = self._queued.pop(name)
        now = self._clock.now()
        for first in range(0, len(records), MAX_ENTRIES):
            batch = records[first : first + MAX_ENTRIES]
            update = OriginUpdate(entries=[encode_record(record, now) for record in batch])
            if not self._peers.send(name, update):
                self._record_failure(name, batch)

    def _record_failure(self, name: str, records: list[OriginRecord]) -> None:
        self._has_failed = True
        for record in records:
            own = self._own.get(record.attempt_id)
            if own is not None:
                own.sent_to = {host for host in own.sent_to if host[0] != name}

    def _on_members_changed(self) -> None:
        if not self._members_changed:
            start_task("stream records", self._adopt_members)
            self._members_changed = True

    def _adopt_members(self) -> None:
        self._clock.sleep(MEMBERS_BATCH_SECONDS)
        self._refresh_ring()

    def _refresh_ring(self) -> None:
        if not self._members_changed:
            return
        self._members_changed = False
        live = self._members.live()
        incarnations = {member.name: member.incarnation for member in live}
        if incarnations != self._incarnations:
            self._incarnations = incarnations
            self._ring.update(live)
            self._schedule_resend()

    def _run(self) -> None:
        while True:
            self._clock.sleep(SWEEP_SECONDS)
            self.sweep()
