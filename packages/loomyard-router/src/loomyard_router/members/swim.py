"""Membership by random probes and gossip, after SWIM.

In each period a router pings one other, in random round-robin order; one that does not answer is
pinged through a few others, then suspected, and declared dead unless it refutes in time. A bounded
number of updates is sent along with each of these datagrams. So a router sends the same number of
datagrams whatever the size of the fleet, and holds one small record for each router; the protocol
that 360 routers need also serves 8.
"""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard.events import Event, emit
from loomyard_router.members.digest_monitor import DigestMonitor
from loomyard_router.members.gossip_exchange import GossipExchange
from loomyard_router.members.member_states import MemberStates
from loomyard_router.members.membership import Member, MemberState
from loomyard_router.members.messages import Datagram, DatagramKind, Liveness, MemberUpdate
from loomyard_router.members.pause_detector import PauseDetector
from loomyard_router.members.prober import Prober
from loomyard_router.members.seeds import Seeds
from loomyard_router.members.table import MemberTable
from loomyard_router.members.topics import Topics
from loomyard_router.supervision.listeners import Listeners
from loomyard_router.supervision.tasks import start_supervised, start_task

if TYPE_CHECKING:
    from collections.abc import Callable

    import gevent

    from loomyard.clock import Clock
    from loomyard.external.vm_list import Vm
    from loomyard_router.members.datagram_seal import DatagramSeal
    from loomyard_router.members.datagrams import Datagrams
    from loomyard_router.members.table import MemberRecord
    from loomyard_router.peers.traffic import TrafficCounters

logger = logging.getLogger(__name__)

TICKS_PER_PERIOD = 5
# Up to this size of the fleet the datagrams of probes spread an item to all within a second. In a
# fleet of 19 that takes up to 1.8 s, of the 2.5 s in which a change has to reach all routers, so in
# larger fleets each router that receives a new item also gossips it to a few others at once.
MAX_FLEET_PROBES_ALONE = 10
GOSSIP_INTERVAL = 0.1
LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


@frozen(kw_only=True)
class SwimTimes:
    """Seconds of a probe period, and the lateness of a timer beyond which the process paused."""

    period: float = 0.5
    pause_bound: float = 1.0

    @property
    def tick(self) -> float:
        return self.period / TICKS_PER_PERIOD


class SwimMembership:
    """The ``Membership`` of a fleet of routers, by SWIM."""

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
        self._exchange = GossipExchange(
            table=self._table,
            topics=self._topics,
            datagrams=datagrams,
            seal=seal,
            traffic=traffic,
            clock=clock,
        )
        period = self._times.period
        self._states = MemberStates(
            own=own,
            table=self._table,
            gossip_queue=self._exchange.gossip_queue,
            clock=clock,
            period=period,
        )
        self._prober = Prober(
            states=self._states,
            exchange=self._exchange,
            seeds=self._seeds,
            clock=clock,
            period=period,
            rng=random.Random(seed),
        )
        now = clock.now()
        self._next_period = now
        self._pause_detector = PauseDetector(
            slack=self._times.tick, bound=self._times.pause_bound, due=now
        )
        self._digest_monitor = DigestMonitor()
        self._changed = Listeners("membership")
        self._paused = Listeners("membership")
        self._seen: tuple[Member, ...] = ()
        self._seen_revision = -1
        self._live: tuple[Member, ...] = ()
        self._gossiping = False
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
            self._prober.probe_unless_probing(record)

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._changed.subscribe(changed)

    def subscribe_pause(self, paused: Callable[[float], None]) -> None:
        self._paused.subscribe(paused)

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        if self._topics.announce(topic, key, value, until):
            self._exchange.gossip_queue.enqueue((topic, key))
            self._gossip_soon()

    def subscribe_topic(self, topic: str, received: Callable[[str, int], None]) -> None:
        self._topics.subscribe(topic, received)

    def leave(self) -> None:
        if self._states.leave():
            self._prober.gossip()
            self._refresh()

    def start(self) -> None:
        self._datagrams.start(self.receive)
        self._task = start_supervised("membership", self._clock, self._run)

    def stop(self) -> None:
        """End the tasks; a leaving router declares itself dead, which saves others the probes."""
        if self._task is not None:
            self._task.kill()
        if self._states.own.leaving:
            self._states.declare_stopped()
            self._prober.gossip()
        self._datagrams.stop()

    def apply_vm_list(self, vms: list[Vm]) -> None:
        """Apply the VM list: addresses of routers, and VMs that are leaving."""
        self._seeds.vms = tuple(vms)
        self._table.mark_leaving(self._seeds.leaving)
        if self._name in self._seeds.leaving:
            self.leave()
        self._refresh()

    def disagreeing_peer(self) -> str:
        """Return a router whose table differs for too long, or an empty name."""
        return self._digest_monitor.disagreeing_peer(self._clock.now())

    def updates(self) -> list[MemberUpdate]:
        """Return the updates of all routers."""
        return [record.update for record in self._table.records.values()]

    def merge_table(self, updates: list[MemberUpdate]) -> None:
        """Apply the updates of all routers from the table of another one."""
        for update in updates:
            self._states.receive(update)
        self._digest_monitor.reset()
        self._refresh()

    def tick(self) -> None:
        """Do what is due; called at least once in a period."""
        now = self._clock.now()
        self._check_own_pause(now)
        self._prober.check_deadlines()
        self._states.expire_suspicions(self._seeds.names)
        if now >= self._next_period:
            self._next_period = max(self._next_period + self._times.period, now)
            self._prober.begin_period()
        self._topics.expire()
        self._refresh()
        self._pause_detector.due = now + self._seconds_to_tick(now)

    def receive(self, data: bytes) -> None:
        """Handle a received datagram."""
        datagram = self._exchange.open(data, self._address)
        if datagram is None or not self._is_from_other(datagram):
            return
        before = self._states.own
        for update in datagram.updates:
            self._states.receive(update)
        for item in datagram.items:
            if self._topics.receive(item):
                self._exchange.gossip_queue.enqueue((item.topic, item.key))
                self._gossip_soon()
        agreed = datagram.digest == self._exchange.digest
        self._digest_monitor.record(datagram.sender, agreed=agreed, now=self._clock.now())
        sender = self._table.find(datagram.sender)
        if sender is not None:
            self._answer(datagram, sender)
            if self._states.own is not before and datagram.kind is DatagramKind.ACK:
                # The sender suspected this router; send the refutation without delay.
                own = self._states.own
                self._prober.send(DatagramKind.PING, sender.update.address, 0, [own])
        self._refresh()

    def _gossip_soon(self) -> None:
        """Gossip an item at once in a fleet that probes alone would reach too slowly."""
        if not self._gossiping and len(self._live) > MAX_FLEET_PROBES_ALONE:
            start_task("membership", self._run_gossip)
            self._gossiping = True

    def _run_gossip(self) -> None:
        try:
            self._prober.gossip()
            # Items received meanwhile are sent together afterwards.
            self._clock.sleep(GOSSIP_INTERVAL)
        finally:
            self._gossiping = False

    def _run(self) -> None:
        while True:
            self.tick()
            self._clock.sleep(self._pause_detector.due - self._clock.now())

    def _seconds_to_tick(self, now: float) -> float:
        """Return a tick while a probe or suspicion is open, else the time to the next period."""
        if self._prober.busy or self._states.has_suspects:
            return self._times.tick
        return max(self._next_period - now, 0.0)

    def _check_own_pause(self, now: float) -> None:
        """Extend deadlines by the time for which this process was paused and received nothing."""
        late, paused = self._pause_detector.check(now)
        if late:
            self._prober.postpone(late)
            self._states.postpone(late)
        if paused:
            emit(logger, Event.ROUTER_PAUSED, seconds=round(late, 3))
            self._paused.notify(late)

    def _is_from_other(self, datagram: Datagram) -> bool:
        if datagram.sender != self._name:
            return True
        if datagram.incarnation != self._states.own.incarnation:
            emit(logger, Event.MEMBER_NAME_TAKEN, name=self._name)
        return False

    def _answer(self, datagram: Datagram, sender: MemberRecord) -> None:
        known = sender.update
        if datagram.kind is DatagramKind.ACK:
            self._prober.handle_ack(datagram)
        elif datagram.kind is DatagramKind.INDIRECT_PING:
            self._prober.ping_on_behalf(datagram, known)
        else:
            # A sender that is suspected, dead or replaced by a newer start has to learn that.
            replaced = known.incarnation > datagram.incarnation
            must_learn = replaced or known.liveness is not Liveness.ALIVE
            self._prober.send(
                DatagramKind.ACK,
                known.address,
                datagram.nonce,
                [known] if must_learn else [],
                include_old=datagram.digest != self._exchange.digest,
            )

    def _refresh(self) -> None:
        """Notify listeners if a router or its state has changed."""
        if self._table.revision == self._seen_revision:
            return
        self._seen_revision = self._table.revision
        records = sorted(self._table.records.items())
        seen = tuple(self._table.member(record) for _, record in records)
        if seen == self._seen:
            return
        _log_changes(self._seen, seen)
        self._seen = seen
        self._live = tuple(m for m in seen if m.state in LIVE_STATES) or (self.own,)
        self._changed.notify()


def _log_changes(before: tuple[Member, ...], after: tuple[Member, ...]) -> None:
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
