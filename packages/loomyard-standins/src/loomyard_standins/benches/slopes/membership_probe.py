"""The membership of one router in fleets of several sizes, the others played by one stand-in."""

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
    """Table, datagrams and processor time of a router, without its wake-ups."""

    sizes = (8, 60, 180, 360)

    def measure(self, size: int) -> Sample:
        crowd = Crowd(size - 1)
        before = resident_bytes()
        crowd.admit()
        crowd.run(SETTLE_SECONDS)
        memory = resident_bytes() - before
        assert len(crowd.member.live()) == size
        datagrams, sent = crowd.traffic.sent_messages, crowd.traffic.sent_bytes
        crowd.used = 0.0
        crowd.run(TIMED_SECONDS)
        return Sample(
            size=size,
            quantities={
                "rss_bytes": memory,
                "cpu_seconds_per_second": crowd.used / TIMED_SECONDS,
                "sent_datagrams_per_second": (crowd.traffic.sent_messages - datagrams)
                / TIMED_SECONDS,
                "sent_bytes_per_second": (crowd.traffic.sent_bytes - sent) / TIMED_SECONDS,
            },
        )


class Crowd:
    """Answer the pings of one router as many others would, and ping it as often as they would.

    ``used`` is the processor time of the router alone.
    """

    def __init__(self, others: int) -> None:
        self.clock = FakeClock()
        self.used = 0.0
        self.traffic = TrafficCounters()
        self._random = random.Random(1)
        self._key = SECRET.keys(PURPOSE)[0]
        self._sequence = 0
        self._arriving: deque[bytes] = deque()
        self._updates = {f"10.0.{n // 250}.{n % 250 + 2}:7000": _update(n) for n in range(others)}
        self._addresses = list(self._updates)
        self._digest = 0

    def admit(self) -> None:
        """Start the router and tell it of all others."""
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
            self._say(DatagramKind.ACK, address, 0, [self._updates[address]])
        self._arrive()

    def run(self, seconds: float) -> None:
        """Let time pass; on average each period one other router pings this one."""
        until = self.clock.now() + seconds
        period = 0.0
        while self.clock.now() < until:
            self.clock.advance(TIMES.tick)
            if self.clock.now() >= period:
                period = self.clock.now() + TIMES.period
                address = self._random.choice(self._addresses)
                self._say(DatagramKind.PING, address, 1, [self._updates[address]])
            started = cpu_seconds()
            self.member.tick()
            self.used += cpu_seconds() - started
            self._arrive()

    def send(self, address: str, data: bytes) -> None:
        datagram = unpack(data[MAC_BYTES:], Datagram).unwrap()
        self._digest = datagram.digest
        if datagram.kind is DatagramKind.PING:
            self._say(DatagramKind.ACK, address, datagram.nonce, [])

    def start(self, receive: object) -> None:
        pass

    def stop(self) -> None:
        pass

    def _say(
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
            # The table of the router itself, so that it sees agreement, as in a calm fleet.
            digest=self._digest,
            updates=updates,
        )
        body = pack(datagram)
        self._arriving.append(truncated_hmac(self._key, OWN.encode(), body) + body)

    def _arrive(self) -> None:
        while self._arriving:
            data = self._arriving.popleft()
            started = cpu_seconds()
            self.member.receive(data)
            self.used += cpu_seconds() - started


def _update(number: int) -> MemberUpdate:
    return MemberUpdate(
        name=f"router-{number:03}",
        incarnation=1_796_000_000_000 + number,
        refutation=0,
        liveness=Liveness.ALIVE,
        address=f"10.0.{number // 250}.{number % 250 + 2}:7000",
        data_centre=f"dc-{number % 5}",
    )
