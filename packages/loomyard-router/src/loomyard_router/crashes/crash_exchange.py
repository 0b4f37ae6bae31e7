"""Replication of crash records between the routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from loomyard.rendezvous import rank
from loomyard_router.crashes.crash_ledger import RETENTION_SECONDS
from loomyard_router.crashes.crash_messages import (
    CrashEntry,
    CrashQuery,
    CrashUpdate,
    PartCrashUpdate,
    decode_entry,
    encode_record,
)
from loomyard_router.crashes.suspect import is_part
from loomyard_router.supervision.tasks import start_supervised, start_task

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    import gevent

    from loomyard.clock import Clock
    from loomyard_router.crashes.crash_ledger import CrashLedger
    from loomyard_router.crashes.crash_record import CrashRecord
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

# Delay that batches the records of all requests that one crash broke.
BATCH_SECONDS = 0.005
# Routers that each update is pushed to. In a larger fleet each of them forwards it once, which
# reaches 0.997 of the routers at any fleet size; queries reach the others.
FANOUT = 6
# Interval of queries to a neighbour. A router that starts or was partitioned is up to date after
# one or two; users accept three seconds.
QUERY_SECONDS = 1.0
ANSWER_SECONDS = 0.5
# Routers among which a random one is queried. They stay the same, which bounds the links of each
# router in a large fleet.
NEIGHBOURS = 6
# Routers mostly join several at a time, so queries after a join are jittered.
QUERY_JITTER_SECONDS = 0.2


class CrashExchange:
    """Pushes new records at once, and pulls missing ones from a random neighbour periodically.

    After a process pause, or when a router joins, it pulls without waiting for the interval.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: CrashLedger,
        members: Membership,
        peers: PeerLinks,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._members = members
        self._peers = peers
        self._rng = rng
        self._updates: dict[str, CrashRecord] = {}
        self._applying_push = False
        self._send_scheduled = False
        self._query_scheduled = False
        self._known_routers: frozenset[str] = frozenset()
        self._joined: frozenset[str] = frozenset()
        self._task: gevent.Greenlet | None = None
        peers.handle(CrashUpdate, self.receive)
        peers.handle(PartCrashUpdate, self.receive)
        peers.handle(CrashQuery, self.answer_query)
        ledger.subscribe(self._schedule_send)

    def start(self) -> None:
        """Start the periodic queries."""
        self._members.subscribe(self._on_members_changed)
        self._members.subscribe_pause(lambda _: self._schedule_query())
        self._task = start_supervised("crash exchange", self._clock, self._run)

    def stop(self) -> None:
        """Stop the periodic queries."""
        if self._task is not None:
            self._task.kill(block=False)

    def receive(self, _: Member, update: CrashUpdate | PartCrashUpdate) -> None:
        """Apply records that another router pushed, and forward new ones in a large fleet."""
        # In a small fleet the sender has pushed to all routers itself.
        self._applying_push = len(self._members.live()) <= FANOUT + 1
        try:
            self._apply(update)
        finally:
            self._applying_push = False

    def answer_query(self, member: Member, query: CrashQuery) -> CrashUpdate:
        """Return all records of requests, none where the digests are equal; send those of parts."""
        records = self._ledger.records()
        if query.digest == self._ledger.digest:
            return CrashUpdate()
        requests, parts = self._split(records)
        if parts:
            self._peers.send(member.name, PartCrashUpdate(entries=parts))
        return CrashUpdate(entries=requests)

    def query(self, among: Iterable[str] = ()) -> None:
        """Pull missing records from one of the given routers, or from a neighbour."""
        others = self._others()
        neighbours = rank(self._members.own.name, others)[:NEIGHBOURS]
        candidates = sorted({*among} & {*others}) or neighbours
        if not candidates:
            return
        query = CrashQuery(digest=self._ledger.digest)
        deadline = self._clock.now() + ANSWER_SECONDS
        match self._peers.request(self._rng.choice(candidates), query, deadline):
            case Ok(CrashUpdate() as update):
                # Forwarded like own records: a push that missed this router may have missed others.
                self._apply(update)

    def _apply(self, update: CrashUpdate | PartCrashUpdate) -> None:
        now = self._clock.now()
        for entry in update.entries:
            record = decode_entry(entry, now, RETENTION_SECONDS)
            if record is not None:
                self._ledger.merge(record)

    def _schedule_send(self, record: CrashRecord) -> None:
        if self._applying_push:
            return
        self._updates[record.suspect] = record
        if not self._send_scheduled:
            start_task("crash exchange", self._send)
            self._send_scheduled = True

    def _send(self) -> None:
        self._clock.sleep(BATCH_SECONDS)
        self._send_scheduled = False
        updates, self._updates = self._updates, {}
        requests, parts = self._split(updates.values())
        others = self._others()
        for name in self._rng.sample(others, min(FANOUT, len(others))):
            if requests:
                self._peers.send(name, CrashUpdate(entries=requests))
            if parts:
                self._peers.send(name, PartCrashUpdate(entries=parts))

    def _split(self, records: Iterable[CrashRecord]) -> tuple[list[CrashEntry], list[CrashEntry]]:
        """Return the encoded records of requests, and those of parts of prompts."""
        now = self._clock.now()
        requests: list[CrashEntry] = []
        parts: list[CrashEntry] = []
        for record in records:
            entry = encode_record(record, now)
            (parts if is_part(record.suspect) else requests).append(entry)
        return requests, parts

    def _others(self) -> list[str]:
        own = self._members.own.name
        return [member.name for member in self._members.live() if member.name != own]

    def _on_members_changed(self) -> None:
        """Schedule a query to routers that joined, as they may have more records."""
        known = frozenset(self._others())
        joined, self._known_routers = known - self._known_routers, known
        self._joined |= joined
        if joined:
            self._schedule_query()

    def _schedule_query(self) -> None:
        if not self._query_scheduled:
            start_task("crash exchange", self._query_joined)
            self._query_scheduled = True

    def _query_joined(self) -> None:
        self._clock.sleep(self._rng.uniform(0.0, QUERY_JITTER_SECONDS))
        self._query_scheduled = False
        joined, self._joined = self._joined, frozenset()
        self.query(joined)

    def _run(self) -> None:
        while True:
            self._clock.sleep(QUERY_SECONDS * self._rng.uniform(0.8, 1.2))
            self._ledger.expire()
            self.query()
