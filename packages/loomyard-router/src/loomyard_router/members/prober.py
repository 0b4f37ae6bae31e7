"""Probes of other routers: one a period, through others where there is no answer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.members.messages import DatagramKind, Liveness
from loomyard_router.members.probes import NEVER, Probe, Probes

if TYPE_CHECKING:
    import random

    from loomyard.clock import Clock
    from loomyard_router.members.beliefs import Beliefs
    from loomyard_router.members.exchange import Exchange
    from loomyard_router.members.messages import Datagram, MemberUpdate
    from loomyard_router.members.seeds import Seeds
    from loomyard_router.members.table import MemberRecord

logger = logging.getLogger(__name__)

DIRECT_PART = 0.4
INDIRECT_PROBERS = 3
SEED_PINGS = 8
RECONNECT_PERIODS = 4
TOLD_COPIES = 3


class Prober:
    """Find out who does not answer; a verdict is only ever a suspicion."""

    def __init__(
        self,
        *,
        beliefs: Beliefs,
        exchange: Exchange,
        seeds: Seeds,
        clock: Clock,
        period: float,
        source: random.Random,
    ) -> None:
        self._beliefs = beliefs
        self._exchange = exchange
        self._seeds = seeds
        self._clock = clock
        self._period = period
        self._random = source
        self._probes = Probes()
        self._round: list[str] = []
        self._periods = 0

    @property
    def busy(self) -> bool:
        """Tell whether answers are awaited."""
        return bool(self._probes)

    def begin_period(self) -> None:
        """Probe the next router; now and then look where nobody is believed alive."""
        self._periods += 1
        if (record := self._next_in_round()) is not None:
            self.probe(record)
        alone = not self._beliefs.others()
        if alone or self._periods % RECONNECT_PERIODS == 0:
            self._look_for_others(SEED_PINGS if alone else 1)

    def check(self, record: MemberRecord) -> None:
        """Probe a router now, unless it is being probed."""
        if not self._probes.checks(record.update.name):
            self.probe(record)

    def probe(self, record: MemberRecord) -> None:
        """Ping a router and wait for its answer."""
        update = record.update
        now = self._clock.now()
        probe = Probe(
            name=update.name,
            incarnation=update.incarnation,
            address=update.address,
            indirect_at=now + DIRECT_PART * self._period,
            deadline=now + self._period,
        )
        # A suspected router has to hear of it, to refute.
        self._ping(probe, [update] if update.liveness is Liveness.SUSPECT else [])

    def judge(self) -> None:
        """Ask others about routers that are late, and suspect those that did not answer."""
        now = self._clock.now()
        for nonce, probe in self._probes.due_indirect(now):
            self._ask_others(nonce, probe)
        for probe in self._probes.take_failed(now):
            record = self._beliefs.table.find(probe.name)
            if record is None or record.update.incarnation != probe.incarnation:
                continue
            if self._beliefs.suspect(record):
                emit(logger, Event.MEMBER_SUSPECTED, name=probe.name)
                self.probe(record)

    def take_ack(self, datagram: Datagram) -> None:
        """End the probe that was answered; pass the answer on where it was for another."""
        probe = self._probes.take(datagram.nonce)
        if probe is not None and probe.requester:
            self.send(DatagramKind.ACK, probe.requester, probe.requester_nonce, [])

    def ping_for(self, datagram: Datagram, requester: MemberUpdate) -> None:
        """Ping an address in the place of another router."""
        probe = Probe(
            name="",
            incarnation=0,
            address=datagram.target,
            indirect_at=NEVER,
            deadline=self._clock.now() + self._period,
            requester=requester.address,
            requester_nonce=datagram.nonce,
        )
        self._ping(probe, [])

    def tell(self) -> None:
        """Send news to a few routers at once, without waiting for answers."""
        others = self._beliefs.others()
        for record in self._random.sample(others, min(TOLD_COPIES, len(others))):
            self.send(DatagramKind.PING, record.update.address, 0, [self._beliefs.own])

    def postpone(self, seconds: float) -> None:
        """Let probes wait longer, since this router could not hear their answers."""
        self._probes.postpone(seconds)

    def send(
        self,
        kind: DatagramKind,
        address: str,
        nonce: int,
        first: list[MemberUpdate],
        *,
        everything: bool = False,
        target: str = "",
    ) -> None:
        """Send a datagram."""
        self._exchange.send(
            kind,
            address,
            nonce,
            own=self._beliefs.own,
            first=first,
            everything=everything,
            target=target,
        )

    def _ping(self, probe: Probe, first: list[MemberUpdate]) -> None:
        nonce = self._probes.add(probe)
        self.send(DatagramKind.PING, probe.address, nonce, [self._beliefs.own, *first])

    def _next_in_round(self) -> MemberRecord | None:
        """Return the next in a random order in which each comes once before any comes again."""
        for _ in range(2):
            while self._round:
                record = self._beliefs.table.find(self._round.pop())
                if record is not None and record.live:
                    return record
            self._round = [record.update.name for record in self._beliefs.others()]
            self._random.shuffle(self._round)
        return None

    def _ask_others(self, nonce: int, probe: Probe) -> None:
        others = [r.update for r in self._beliefs.others() if r.update.name != probe.name]
        for other in self._random.sample(others, min(INDIRECT_PROBERS, len(others))):
            self.send(
                DatagramKind.INDIRECT_PING,
                other.address,
                nonce,
                [self._beliefs.own],
                target=probe.address,
            )

    def _look_for_others(self, count: int) -> None:
        """Ping places where nobody is believed alive: seeds, and routers declared dead."""
        records = self._beliefs.table.records.values()
        addresses = self._seeds.addresses | {record.update.address for record in records}
        addresses -= {record.update.address for record in records if record.live}
        for address in self._random.sample(sorted(addresses), min(count, len(addresses))):
            dead = [r.update for r in records if r.update.address == address]
            self.send(DatagramKind.PING, address, 0, [self._beliefs.own, *dead[:TOLD_COPIES]])
