"""Membership by random probes and gossip, after SWIM.

In each period a router pings one other, in random round-robin order; one that does not answer is
pinged through a few others, then suspected, and declared dead unless it refutes in time. News
rides on these datagrams in bounded number. So a router sends the same number of datagrams
whatever the size of the fleet, and holds one small record for each router: the sparse form that
360 routers need is the form that 8 routers run.
"""

from __future__ import annotations

import logging
import math
import random
from typing import TYPE_CHECKING

import gevent
from attrs import evolve, frozen

from loomyard.events import Event, emit
from loomyard_router.members.exchange import Exchange
from loomyard_router.members.listeners import Listeners
from loomyard_router.members.membership import Member, MemberState
from loomyard_router.members.messages import Datagram, DatagramKind, Liveness, MemberUpdate
from loomyard_router.members.pause import PauseWatch
from loomyard_router.members.probes import NEVER, Probe, Probes
from loomyard_router.members.seeds import Seeds
from loomyard_router.members.table import MemberTable
from loomyard_router.members.topics import Topics

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.platform.vm_list import Vm
    from loomyard_router.members.datagram_seal import DatagramSeal
    from loomyard_router.members.datagrams import Datagrams
    from loomyard_router.members.table import MemberRecord
    from loomyard_router.peers.traffic import TrafficCounters

logger = logging.getLogger(__name__)

TICKS_PER_PERIOD = 5
DIRECT_TICKS = 2
INDIRECT_PROBERS = 3
SUSPICION_PERIODS = 3
SEED_PINGS = 8
RECONNECT_PERIODS = 4
JOIN_SECONDS = 10.0
DEAD_KEPT = 3600.0
LEAVE_COPIES = 3


@frozen(kw_only=True)
class SwimTimes:
    """Seconds of a probe period, and of a silence of the own timer that is a pause."""

    period: float = 0.5
    pause_bound: float = 1.0


class SwimMembership:
    """The ``Membership`` of a fleet of routers."""

    def __init__(
        self,
        *,
        own: Member,
        datagrams: Datagrams,
        seal: DatagramSeal,
        clock: Clock,
        traffic: TrafficCounters,
        seeds: tuple[str, ...] = (),
        times: SwimTimes | None = None,
        seed: int | None = None,
    ) -> None:
        self._name = own.name
        self._address = own.address
        self._clock = clock
        self._times = times or SwimTimes()
        self._random = random.Random(seed)
        self._datagrams = datagrams
        self._table = MemberTable()
        self._topics = Topics(clock)
        self._exchange = Exchange(
            table=self._table,
            topics=self._topics,
            datagrams=datagrams,
            seal=seal,
            traffic=traffic,
            clock=clock,
        )
        self._seeds = Seeds(settings=seeds)
        self._probes = Probes()
        self._round: list[str] = []
        now = clock.now()
        self._next_period = now
        self._periods = 0
        self._joining_until = now + JOIN_SECONDS
        self._pause = PauseWatch(bound=self._times.pause_bound, ticked_at=now)
        self._changed = Listeners()
        self._paused = Listeners()
        self._seen: tuple[Member, ...] = ()
        self._seen_revision = -1
        self._live: tuple[Member, ...] = ()
        self._task: gevent.Greenlet | None = None
        self._take(_first_update(own))
        self._refresh()

    @property
    def own(self) -> Member:
        return self._table.member(self._table.records[self._name])

    def live(self) -> tuple[Member, ...]:
        return self._live

    def find(self, name: str) -> Member | None:
        record = self._table.find(name)
        return self._table.member(record) if record else None

    def suspect(self, name: str) -> None:
        record = self._table.find(name)
        if record and record.live and name != self._name and not self._probes.checks(name):
            self._probe(record)

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._changed.add(changed)

    def subscribe_pause(self, paused: Callable[[float], None]) -> None:
        self._paused.add(paused)

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        if self._topics.announce(topic, key, value, until):
            self._exchange.news.add((topic, key))

    def subscribe_topic(self, topic: str, heard: Callable[[str, int], None]) -> None:
        self._topics.subscribe(topic, heard)

    def leave(self) -> None:
        own = self._own
        if own.leaving:
            return
        self._take(evolve(own, refutation=own.refutation + 1, leaving=True))
        self._refresh()
        others = [record for record in self._table.live() if record.update.name != self._name]
        for record in self._random.sample(others, min(LEAVE_COPIES, len(others))):
            self._probe(record)

    def start(self) -> None:
        self._datagrams.start(self.receive)
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        if self._task is not None:
            self._task.kill()
        self._datagrams.stop()

    def take_vms(self, vms: list[Vm]) -> None:
        """Take over what the VM list says."""
        self._seeds.vms = tuple(vms)
        self._table.mark_leaving(self._seeds.leaving)
        if self._name in self._seeds.leaving:
            self.leave()
        self._refresh()

    def tick(self) -> None:
        """Do what is due; called a few times in a period."""
        now = self._clock.now()
        if pause := self._pause.tick(now):
            self._wake(pause)
        self._ask_others(now)
        for probe in self._probes.take_failed(now):
            self._suspect(probe, now)
        self._bury(now)
        if now >= self._next_period:
            self._next_period = max(self._next_period + self._times.period, now)
            self._begin_period()
        self._topics.expire()
        self._refresh()

    def receive(self, data: bytes) -> None:
        """Take a datagram in."""
        datagram = self._exchange.open(data, self._address)
        if datagram is None or not self._is_other(datagram):
            return
        before = self._own
        for update in datagram.updates:
            self._hear(update)
        for item in datagram.items:
            if self._topics.hear(item):
                self._exchange.news.add((item.topic, item.key))
        sender = self._table.find(datagram.sender)
        if sender is not None:
            self._answer(datagram, sender)
            if self._own is not before and datagram.kind is DatagramKind.ACK:
                # The sender doubted us and would hear of our refutation late.
                self._send(DatagramKind.PING, sender.update.address, 0, [self._own])
        self._refresh()

    @property
    def _own(self) -> MemberUpdate:
        return self._table.records[self._name].update

    def _run(self) -> None:
        while True:
            self.tick()
            self._clock.sleep(self._times.period / TICKS_PER_PERIOD)

    def _is_other(self, datagram: Datagram) -> bool:
        if datagram.sender != self._name:
            return True
        if datagram.incarnation != self._own.incarnation:
            emit(logger, Event.MEMBER_NAME_TAKEN, name=self._name)
        return False

    def _answer(self, datagram: Datagram, sender: MemberRecord) -> None:
        # A sender that is believed dead or suspected, or to be a newer one, has to hear of it.
        known = sender.update
        doubted = known.liveness is not Liveness.ALIVE or known.incarnation > datagram.incarnation
        first = [known] if doubted else []
        match datagram.kind:
            case DatagramKind.PING:
                everything = datagram.digest != self._exchange.digest
                self._send(
                    DatagramKind.ACK, known.address, datagram.nonce, first, everything=everything
                )
            case DatagramKind.ACK:
                self._take_ack(datagram)
            case DatagramKind.INDIRECT_PING:
                self._ping_for(datagram, known)

    def _take_ack(self, datagram: Datagram) -> None:
        probe = self._probes.take(datagram.nonce)
        if probe is not None and probe.requester:
            self._send(DatagramKind.ACK, probe.requester, probe.requester_nonce, [])

    def _ping_for(self, datagram: Datagram, requester: MemberUpdate) -> None:
        deadline = self._clock.now() + self._times.period
        probe = Probe(
            name="",
            incarnation=0,
            address=datagram.target,
            indirect_at=NEVER,
            deadline=deadline,
            requester=requester.address,
            requester_nonce=datagram.nonce,
        )
        self._ping(probe, [])

    def _hear(self, update: MemberUpdate) -> None:
        if update.name == self._name:
            self._hear_of_self(update)
        else:
            self._take(update)

    def _hear_of_self(self, update: MemberUpdate) -> None:
        own = self._own
        if update.version <= own.version:
            return
        if update.incarnation == own.incarnation:
            emit(logger, Event.MEMBER_REFUTED, liveness=update.liveness.name)
            self._take(evolve(own, refutation=update.refutation + 1))
        elif self._clock.now() < self._joining_until:
            # The clock of an earlier start of this name was ahead of ours.
            self._take(evolve(own, incarnation=update.incarnation + 1, refutation=0))
        else:
            emit(logger, Event.MEMBER_NAME_TAKEN, name=self._name)

    def _take(self, update: MemberUpdate) -> bool:
        if not self._table.apply(update):
            return False
        self._exchange.news.add(update.name)
        record = self._table.records[update.name]
        now = self._clock.now()
        if update.liveness is Liveness.SUSPECT:
            record.suspected_until = now + self._suspicion_seconds()
        elif update.liveness is Liveness.DEAD:
            record.forget_at = now + DEAD_KEPT
        return True

    def _suspicion_seconds(self) -> float:
        size = max(10, len(self._table.records))
        return SUSPICION_PERIODS * math.log10(size) * self._times.period

    def _begin_period(self) -> None:
        self._periods += 1
        if (record := self._next_in_round()) is not None:
            self._probe(record)
        joining = len(self._live) <= 1
        if joining or self._periods % RECONNECT_PERIODS == 0:
            self._look_for_others(SEED_PINGS if joining else 1)

    def _next_in_round(self) -> MemberRecord | None:
        """Return the next in a random order in which each comes once before any comes again."""
        for _ in range(2):
            while self._round:
                record = self._table.find(self._round.pop())
                if record is not None and record.live:
                    return record
            self._round = [r.update.name for r in self._table.live() if r.update.name != self._name]
            self._random.shuffle(self._round)
        return None

    def _look_for_others(self, count: int) -> None:
        """Ping places where nobody is believed alive: seeds, and routers declared dead."""
        records = self._table.records.values()
        addresses = self._seeds.addresses | {record.update.address for record in records}
        addresses -= {record.update.address for record in records if record.live}
        for address in self._random.sample(sorted(addresses), min(count, len(addresses))):
            dead = [r.update for r in records if r.update.address == address]
            self._send(DatagramKind.PING, address, 0, [self._own, *dead])

    def _probe(self, record: MemberRecord) -> None:
        update = record.update
        now = self._clock.now()
        tick = self._times.period / TICKS_PER_PERIOD
        probe = Probe(
            name=update.name,
            incarnation=update.incarnation,
            address=update.address,
            indirect_at=now + DIRECT_TICKS * tick,
            deadline=now + self._times.period,
        )
        self._ping(probe, [update] if update.liveness is Liveness.SUSPECT else [])

    def _ping(self, probe: Probe, first: list[MemberUpdate]) -> None:
        self._send(DatagramKind.PING, probe.address, self._probes.add(probe), [self._own, *first])

    def _ask_others(self, now: float) -> None:
        for nonce, probe in self._probes.due_indirect(now):
            names = {probe.name, self._name}
            others = [r.update for r in self._table.live() if r.update.name not in names]
            for other in self._random.sample(others, min(INDIRECT_PROBERS, len(others))):
                self._send(
                    DatagramKind.INDIRECT_PING,
                    other.address,
                    nonce,
                    [self._own],
                    target=probe.address,
                )

    def _suspect(self, probe: Probe, now: float) -> None:
        record = self._table.find(probe.name)
        if record is None or record.update.incarnation != probe.incarnation:
            return
        if self._take(evolve(record.update, liveness=Liveness.SUSPECT)):
            emit(logger, Event.MEMBER_SUSPECTED, name=probe.name)
            self._probe(record)

    def _bury(self, now: float) -> None:
        listed = self._seeds.names
        for name, record in list(self._table.records.items()):
            if record.suspected_until <= now:
                self._take(evolve(record.update, liveness=Liveness.DEAD))
            elif record.forget_at <= now and name not in listed:
                self._table.forget(name)

    def _wake(self, pause: float) -> None:
        """Drop the verdicts that hang on what could not be heard, and tell the other parts."""
        emit(logger, Event.ROUTER_PAUSED, seconds=round(pause, 3))
        self._paused.call(pause)
        self._probes.clear()
        for record in self._table.records.values():
            record.suspected_until += pause

    def _send(
        self,
        kind: DatagramKind,
        address: str,
        nonce: int,
        first: list[MemberUpdate],
        *,
        everything: bool = False,
        target: str = "",
    ) -> None:
        self._exchange.send(
            kind,
            address,
            nonce,
            own=self._own,
            first=first,
            everything=everything,
            target=target,
        )

    def _refresh(self) -> None:
        """Tell listeners where what they can see has changed."""
        if self._table.revision == self._seen_revision:
            return
        self._seen_revision = self._table.revision
        records = sorted(self._table.records.items())
        seen = tuple(self._table.member(record) for _, record in records)
        if seen == self._seen:
            return
        _tell_changes(self._seen, seen)
        self._seen = seen
        present = (MemberState.ALIVE, MemberState.SUSPECT)
        live = tuple(member for member in seen if member.state in present)
        self._live = live or (self.own,)
        self._changed.call()


def _first_update(own: Member) -> MemberUpdate:
    return MemberUpdate(
        name=own.name,
        incarnation=own.incarnation,
        refutation=0,
        liveness=Liveness.ALIVE,
        address=own.address,
        data_centre=own.data_centre,
    )


def _tell_changes(before: tuple[Member, ...], after: tuple[Member, ...]) -> None:
    known = {member.name: member for member in before}
    for member in after:
        old = known.get(member.name)
        if old is None or (old.state, old.incarnation) != (member.state, member.incarnation):
            emit(
                logger,
                Event.MEMBER_CHANGED,
                name=member.name,
                incarnation=member.incarnation,
                state=member.state.value,
            )
