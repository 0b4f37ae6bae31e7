"""Cost of membership for one router against the fleet size, with the other routers simulated."""

from __future__ import annotations

import random
from collections import deque

from loomyard_router.members.datagram_seal import PURPOSE, DatagramSeal
from loomyard_router.members.membership import Member
from loomyard_router.members.messages import Datagram, DatagramKind, Liveness, MemberUpdate
from loomyard_router.members.swim import SwimMembership, SwimTimes
from loomyard_router.peers.compact_codec import pack, unpack
from loomyard_router.peers.fleet_secret import MAC_BYTES, make_fleet_secret, truncated_hmac
from loomyard_router.peers.traffic import TrafficCounters
from loomyard_standins.benches.slopes.sample import Sample
from loomyard_standins.benches.slopes.usage import cpu_seconds, resident_bytes
from loomyard_standins.fake_clock import FakeClock

OWN = "10.0.0.1:7000"
TIMES = SwimTimes()
SECRET = make_fleet_secret(["bench"])
SETTLE_SECONDS = 60.0
TIMED_SECONDS = 120.0


class MembershipProbe:
    """Memory, datagrams and CPU time of the membership of a router, without its timers."""

    sizes = (8, 60, 180, 360)

    def measure(self, size: int) -> Sample:
        """Run the membership in a fleet of ``size`` routers for TIMED_SECONDS of fake time."""
        fleet = SimulatedFleet(size - 1)
        before = resident_bytes()
        fleet.start_router()
        fleet.run(SETTLE_SECONDS)
        memory = resident_bytes() - before
        assert len(fleet.member.live()) == size
        datagrams, sent = fleet.traffic.sent_messages, fleet.traffic.sent_bytes
        fleet.router_cpu_seconds = 0.0
        fleet.run(TIMED_SECONDS)
        return Sample(
            size=size,
            quantities={
                "rss_bytes": memory,
                "cpu_seconds_per_second": fleet.router_cpu_seconds / TIMED_SECONDS,
                "sent_datagrams_per_second": (fleet.traffic.sent_messages - datagrams)
                / TIMED_SECONDS,
                "sent_bytes_per_second": (fleet.traffic.sent_bytes - sent) / TIMED_SECONDS,
            },
        )


class SimulatedFleet:
    """Simulates all other routers of a fleet: answers the pings of one router and pings it.

    ``router_cpu_seconds`` is the CPU time in seconds of that router alone.
    """

    def __init__(self, others: int) -> None:
        self.clock = FakeClock()
        self.router_cpu_seconds = 0.0
        self.traffic = TrafficCounters()
        self._rng = random.Random(1)
        self._key = SECRET.keys(PURPOSE)[0]
        self._sequence = 0
        self._inbox: deque[bytes] = deque()
        self._updates = {f"10.0.{n // 250}.{n % 250 + 2}:7000": _update(n) for n in range(others)}
        self._addresses = list(self._updates)
        self._digest = 0

    def start_router(self) -> None:
        """Start the router and send it the updates of all others."""
        own = Member(name="router-own", incarnation=1, address=OWN, data_centre="dc-1")
        self.member = SwimMembership(
            own=own,
            datagrams=self,
            seal=DatagramSeal(SECRET, self.clock),
            clock=self.clock,
            traffic=self.traffic,
            times=TIMES,
            seed=1,
        )
        for address in self._addresses:
            self._send_datagram(DatagramKind.ACK, address, 0, [self._updates[address]])
        self._deliver()

    def run(self, seconds: float) -> None:
        """Advance the clock; one other router pings this one each period, the mean of a fleet."""
        until = self.clock.now() + seconds
        period = 0.0
        while self.clock.now() < until:
            self.clock.advance(TIMES.tick)
            if self.clock.now() >= period:
                period = self.clock.now() + TIMES.period
                address = self._rng.choice(self._addresses)
                self._send_datagram(DatagramKind.PING, address, 1, [self._updates[address]])
            started = cpu_seconds()
            self.member.tick()
            self.router_cpu_seconds += cpu_seconds() - started
            self._deliver()

    def send(self, address: str, data: bytes) -> None:
        """Take a datagram of the router and answer it if it is a ping."""
        datagram = unpack(data[MAC_BYTES:], Datagram).unwrap()
        self._digest = datagram.digest
        if datagram.kind is DatagramKind.PING:
            self._send_datagram(DatagramKind.ACK, address, datagram.nonce, [])

    def start(self, receive: object) -> None:
        pass

    def stop(self) -> None:
        pass

    def _send_datagram(
        self, kind: DatagramKind, address: str, nonce: int, updates: list[MemberUpdate]
    ) -> None:
        self._sequence += 1
        sender = self._updates[address]
        datagram = Datagram(
            kind=kind,
            sender=sender.name,
            incarnation=sender.incarnation,
            refutation=0,
            sequence=self._sequence,
            nonce=nonce,
            # The digest of the router itself: all tables agree, as in a fleet without changes.
            digest=self._digest,
            updates=updates,
        )
        body = pack(datagram)
        self._inbox.append(truncated_hmac(self._key, OWN.encode(), body) + body)

    def _deliver(self) -> None:
        while self._inbox:
            data = self._inbox.popleft()
            started = cpu_seconds()
            self.member.receive(data)
            self.router_cpu_seconds += cpu_seconds() - started


def _update(number: int) -> MemberUpdate:
    return MemberUpdate(
        name=f"router-{number:03}",
        incarnation=1_796_000_000_000 + number,
        refutation=0,
        liveness=Liveness.ALIVE,
        address=f"10.0.{number // 250}.{number % 250 + 2}:7000",
        data_centre=f"dc-{number % 5}",
    )
