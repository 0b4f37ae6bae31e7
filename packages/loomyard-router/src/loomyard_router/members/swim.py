"""Membership by random probes and gossip, after SWIM.

In each period a router pings one other, in random round-robin order; one that does not answer is
pinged through a few others, then suspected, and declared dead unless it refutes in time. News
rides on these datagrams in bounded number. So a router sends the same number of datagrams
whatever the size of the fleet, and holds one small record for each router: the sparse form that
360 routers need is the form that 8 routers run.
"""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

import gevent
from attrs import frozen

from loomyard.events import Event, emit
from loomyard_router.members.agreement import Agreement
from loomyard_router.members.beliefs import Beliefs
from loomyard_router.members.exchange import Exchange
from loomyard_router.members.listeners import Listeners
from loomyard_router.members.membership import Member, MemberState
from loomyard_router.members.messages import Datagram, DatagramKind, Liveness, MemberUpdate
from loomyard_router.members.pause_detector import PauseDetector
from loomyard_router.members.prober import Prober
from loomyard_router.members.seeds import Seeds
from loomyard_router.members.table import MemberTable
from loomyard_router.members.topics import Topics

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.outside.vm_list import Vm
    from loomyard_router.members.datagram_seal import DatagramSeal
    from loomyard_router.members.datagrams import Datagrams
    from loomyard_router.members.table import MemberRecord
    from loomyard_router.peers.traffic import TrafficCounters

logger = logging.getLogger(__name__)

TICKS_PER_PERIOD = 5
# Probes alone take an item to all of so many routers in a second; to all of 19 they took up to
# 1.8 s of the 2.5 s that a change has on its way (stepped time). So it is passed on at once in
# larger fleets: each router tells a few others once.
TOLD_WITHOUT = 10
TELL_PAUSE = 0.1
PRESENT = (MemberState.ALIVE, MemberState.SUSPECT)


@frozen(kw_only=True)
class SwimTimes:
    """Seconds of a probe period, and of a silence of the own timer that is a pause."""

    period: float = 0.5
    pause_bound: float = 1.0

    @property
    def tick(self) -> float:
        return self.period / TICKS_PER_PERIOD


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
        self._datagrams = datagrams
        self._table = MemberTable()
        self._topics = Topics(clock)
        self._seeds = Seeds(settings=seeds)
        self._exchange = Exchange(
            table=self._table,
            topics=self._topics,
            datagrams=datagrams,
            seal=seal,
            traffic=traffic,
            clock=clock,
        )
        period = self._times.period
        self._beliefs = Beliefs(
            own=own, table=self._table, news=self._exchange.news, clock=clock, period=period
        )
        self._prober = Prober(
            beliefs=self._beliefs,
            exchange=self._exchange,
            seeds=self._seeds,
            clock=clock,
            period=period,
            source=random.Random(seed),
        )
        now = clock.now()
        self._next_period = now
        self._pause = PauseDetector(slack=self._times.tick, bound=self._times.pause_bound, due=now)
        self._agreement = Agreement()
        self._changed = Listeners()
        self._paused = Listeners()
        self._seen: tuple[Member, ...] = ()
        self._seen_revision = -1
        self._live: tuple[Member, ...] = ()
        self._telling = False
        self._task: gevent.Greenlet | None = None
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
        if record is not None and record.live and name != self._name:
            self._prober.check(record)

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._changed.add(changed)

    def subscribe_pause(self, paused: Callable[[float], None]) -> None:
        self._paused.add(paused)

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        if self._topics.announce(topic, key, value, until):
            self._exchange.news.add((topic, key))
            self._tell_soon()

    def subscribe_topic(self, topic: str, heard: Callable[[str, int], None]) -> None:
        self._topics.subscribe(topic, heard)

    def leave(self) -> None:
        if self._beliefs.leave():
            self._prober.tell()
            self._refresh()

    def start(self) -> None:
        self._datagrams.start(self.receive)
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the tasks; one that has left says that it is gone, so that nobody has to probe."""
        if self._task is not None:
            self._task.kill()
        if self._beliefs.own.leaving:
            self._beliefs.farewell()
            self._prober.tell()
        self._datagrams.stop()

    def apply_vm_list(self, vms: list[Vm]) -> None:
        """Take over what the VM list says."""
        self._seeds.vms = tuple(vms)
        self._table.mark_leaving(self._seeds.leaving)
        if self._name in self._seeds.leaving:
            self.leave()
        self._refresh()

    def lagging_behind(self) -> str:
        """Return a router with which this one has disagreed for too long, if there is one."""
        return self._agreement.overdue(self._clock.now())

    def table(self) -> list[MemberUpdate]:
        """Return all that is believed."""
        return [record.update for record in self._table.records.values()]

    def take_table(self, updates: list[MemberUpdate]) -> None:
        """Take over what another router believes of all."""
        for update in updates:
            self._beliefs.hear(update)
        self._agreement.reset()
        self._refresh()

    def tick(self) -> None:
        """Do what is due; called a few times in a period."""
        now = self._clock.now()
        self._note_silence(now)
        self._prober.judge()
        self._beliefs.bury(self._seeds.names)
        if now >= self._next_period:
            self._next_period = max(self._next_period + self._times.period, now)
            self._prober.begin_period()
        self._topics.expire()
        self._refresh()
        self._pause.due = now + self._seconds_to_tick(now)

    def receive(self, data: bytes) -> None:
        """Take a datagram in."""
        datagram = self._exchange.open(data, self._address)
        if datagram is None or not self._is_other(datagram):
            return
        before = self._beliefs.own
        for update in datagram.updates:
            self._beliefs.hear(update)
        for item in datagram.items:
            if self._topics.hear(item):
                self._exchange.news.add((item.topic, item.key))
                self._tell_soon()
        agreed = datagram.digest == self._exchange.digest
        self._agreement.note(datagram.sender, agreed=agreed, now=self._clock.now())
        sender = self._table.find(datagram.sender)
        if sender is not None:
            self._answer(datagram, sender)
            if self._beliefs.own is not before and datagram.kind is DatagramKind.ACK:
                # The sender doubted us and would else hear of our refutation late.
                own = self._beliefs.own
                self._prober.send(DatagramKind.PING, sender.update.address, 0, [own])
        self._refresh()

    def _tell_soon(self) -> None:
        """Pass an item on without waiting for the next probe, where that takes several periods."""
        if not self._telling and len(self._live) > TOLD_WITHOUT:
            self._telling = True
            gevent.spawn(self._tell)

    def _tell(self) -> None:
        self._prober.tell()
        # What comes meanwhile rides on the next one.
        self._clock.sleep(TELL_PAUSE)
        self._telling = False

    def _run(self) -> None:
        while True:
            self.tick()
            self._clock.sleep(self._pause.due - self._clock.now())

    def _seconds_to_tick(self, now: float) -> float:
        """Return a tick while a verdict is open, and else the time to the next period."""
        if self._prober.busy or self._beliefs.doubting:
            return self._times.tick
        return max(self._next_period - now, 0.0)

    def _note_silence(self, now: float) -> None:
        """Take in that this process was slow or stood still, and so could hear nobody."""
        late, paused = self._pause.check(now)
        if late:
            self._prober.postpone(late)
            self._beliefs.postpone(late)
        if paused:
            emit(logger, Event.ROUTER_PAUSED, seconds=round(late, 3))
            self._paused.call(late)

    def _is_other(self, datagram: Datagram) -> bool:
        if datagram.sender != self._name:
            return True
        if datagram.incarnation != self._beliefs.own.incarnation:
            emit(logger, Event.MEMBER_NAME_TAKEN, name=self._name)
        return False

    def _answer(self, datagram: Datagram, sender: MemberRecord) -> None:
        known = sender.update
        if datagram.kind is DatagramKind.ACK:
            self._prober.take_ack(datagram)
        elif datagram.kind is DatagramKind.INDIRECT_PING:
            self._prober.ping_for(datagram, known)
        else:
            # One that is doubted here, or replaced by a newer start, has to hear of it.
            replaced = known.incarnation > datagram.incarnation
            doubted = replaced or known.liveness is not Liveness.ALIVE
            self._prober.send(
                DatagramKind.ACK,
                known.address,
                datagram.nonce,
                [known] if doubted else [],
                everything=datagram.digest != self._exchange.digest,
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
        self._live = tuple(m for m in seen if m.state in PRESENT) or (self.own,)
        self._changed.call()


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
