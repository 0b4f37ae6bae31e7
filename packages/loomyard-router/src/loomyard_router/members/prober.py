"""Failure detection: one router is pinged in each period, indirectly if it does not answer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.members.messages import DatagramKind, Liveness
from loomyard_router.members.probes import NEVER, Probe, Probes

if TYPE_CHECKING:
    import random

    from loomyard.clock import Clock
    from loomyard_router.members.gossip_exchange import GossipExchange
    from loomyard_router.members.member_states import MemberStates
    from loomyard_router.members.messages import Datagram, MemberUpdate
    from loomyard_router.members.seeds import Seeds
    from loomyard_router.members.table import MemberRecord

logger = logging.getLogger(__name__)

# Fraction of a period after which indirect pings are requested.
DIRECT_FRACTION = 0.4
INDIRECT_PROBERS = 3
SEED_PINGS = 8
# Every so many periods a seed or dead router is pinged, so that partitions heal.
RECONNECT_PERIODS = 4
GOSSIP_FANOUT = 3


class Prober:
    """Probe other routers and suspect those that do not answer."""

    def __init__(
        self,
        *,
        states: MemberStates,
        exchange: GossipExchange,
        seeds: Seeds,
        clock: Clock,
        period: float,
        rng: random.Random,
    ) -> None:
        self._states = states
        self._exchange = exchange
        self._seeds = seeds
        self._clock = clock
        self._period = period
        self._rng = rng
        self._probes = Probes()
        self._round: list[str] = []
        self._periods = 0

    @property
    def busy(self) -> bool:
        """Tell whether any probe is unanswered."""
        return bool(self._probes)

    def begin_period(self) -> None:
        """Probe the next router; at times ping addresses at which no router is known to live."""
        self._periods += 1
        if (record := self._next_in_round()) is not None:
            self.probe(record)
        alone = not self._states.others()
        if alone or self._periods % RECONNECT_PERIODS == 0:
            self._ping_seeds_and_dead(SEED_PINGS if alone else 1)

    def probe_unless_probing(self, record: MemberRecord) -> None:
        """Probe a router at once, unless a probe of it is outstanding."""
        if not self._probes.is_probing(record.update.name):
            self.probe(record)

    def probe(self, record: MemberRecord) -> None:
        """Ping a router and expect its answer within a period."""
        update = record.update
        now = self._clock.now()
        probe = Probe(
            name=update.name,
            incarnation=update.incarnation,
            address=update.address,
            indirect_at=now + DIRECT_FRACTION * self._period,
            deadline=now + self._period,
        )
        # A suspected router has to learn that, to refute it.
        self._ping(probe, [update] if update.liveness is Liveness.SUSPECT else [])

    def check_deadlines(self) -> None:
        """Request indirect pings of late routers, and suspect those whose probes failed."""
        now = self._clock.now()
        for nonce, probe in self._probes.due_indirect(now):
            self._request_indirect_pings(nonce, probe)
        for probe in self._probes.pop_failed(now):
            record = self._states.table.find(probe.name)
            if record is None or record.update.incarnation != probe.incarnation:
                continue
            if self._states.suspect(record):
                emit(logger, Event.MEMBER_SUSPECTED, name=probe.name)
                self.probe(record)

    def handle_ack(self, datagram: Datagram) -> None:
        """End the answered probe; forward the answer of one on behalf of another router."""
        probe = self._probes.pop(datagram.nonce)
        if probe is not None and probe.requester:
            self.send(DatagramKind.ACK, probe.requester, probe.requester_nonce, [])

    def ping_on_behalf(self, datagram: Datagram, requester: MemberUpdate) -> None:
        """Ping an address on behalf of another router."""
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

    def gossip(self) -> None:
        """Send queued updates to a few random routers at once, in pings that are not tracked."""
        others = self._states.others()
        for record in self._rng.sample(others, min(GOSSIP_FANOUT, len(others))):
            self.send(DatagramKind.PING, record.update.address, 0, [self._states.own])

    def postpone(self, seconds: float) -> None:
        """Extend the deadlines of probes, since this process could not receive their answers."""
        self._probes.postpone(seconds)

    def send(
        self,
        kind: DatagramKind,
        address: str,
        nonce: int,
        first: list[MemberUpdate],
        *,
        include_old: bool = False,
        target: str = "",
    ) -> None:
        """Send a datagram of this router with gossip."""
        self._exchange.send(
            kind,
            address,
            nonce,
            own=self._states.own,
            first=first,
            include_old=include_old,
            target=target,
        )

    def _ping(self, probe: Probe, first: list[MemberUpdate]) -> None:
        nonce = self._probes.add(probe)
        self.send(DatagramKind.PING, probe.address, nonce, [self._states.own, *first])

    def _next_in_round(self) -> MemberRecord | None:
        """Return the next router in random round-robin order."""
        for _ in range(2):
            while self._round:
                record = self._states.table.find(self._round.pop())
                if record is not None and record.live:
                    return record
            self._round = [record.update.name for record in self._states.others()]
            self._rng.shuffle(self._round)
        return None

    def _request_indirect_pings(self, nonce: int, probe: Probe) -> None:
        others = [r.update for r in self._states.others() if r.update.name != probe.name]
        for other in self._rng.sample(others, min(INDIRECT_PROBERS, len(others))):
            self.send(
                DatagramKind.INDIRECT_PING,
                other.address,
                nonce,
                [self._states.own],
                target=probe.address,
            )

    def _ping_seeds_and_dead(self, count: int) -> None:
        """Ping seeds and dead routers at addresses at which no router is known to live."""
        records = self._states.table.records.values()
        addresses = self._seeds.addresses | {record.update.address for record in records}
        addresses -= {record.update.address for record in records if record.live}
        for address in self._rng.sample(sorted(addresses), min(count, len(addresses))):
            dead = [r.update for r in records if r.update.address == address]
            self.send(DatagramKind.PING, address, 0, [self._states.own, *dead[:GOSSIP_FANOUT]])
