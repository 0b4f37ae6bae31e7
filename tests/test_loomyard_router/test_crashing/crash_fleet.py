"""Test fixture: routers that exchange crash records, on stepped time."""

from __future__ import annotations

import random

from attrs import define

from loomyard_router.announced.target_incarnation import TargetLife
from loomyard_router.crashes.crash_exchange import CrashExchange
from loomyard_router.crashes.crash_ledger import BLOCKING_COUNT, CrashLedger
from loomyard_router.members.membership import Member
from loomyard_standins.memory_network import MemoryNetwork, MemoryPeers
from loomyard_standins.stepped_clock import SteppedClock
from test_loomyard_router.test_admission.slots_case import Members


@define(eq=False)
class Router:
    """The components of one router."""

    members: Members
    ledger: CrashLedger
    exchange: CrashExchange


class CrashFleet:
    """``count`` connected routers; ``missing`` more can be started later."""

    def __init__(self, count: int, *, missing: int = 0, seed: int = 1) -> None:
        self.clock = SteppedClock()
        self.network = MemoryNetwork(seed=seed)
        self._seed = seed
        self._all = [
            Member(name=f"r{number}", incarnation=1, address="", data_centre="")
            for number in range(count + missing)
        ]
        self.routers: dict[str, Router] = {}
        for member in self._all[:count]:
            self.start(member.name)

    def start(self, name: str) -> None:
        """Start a router without crash records."""
        own = next(member for member in self._all if member.name == name)
        peers: MemoryPeers = self.network.join(own)
        known = [member for member in self._all if member.name in {*self.routers, name}]
        members = Members(own, known)
        ledger = CrashLedger(self.clock)
        exchange = CrashExchange(
            clock=self.clock,
            ledger=ledger,
            members=members,
            peers=peers,
            rng=random.Random(f"{self._seed} {name}"),
        )
        for router in self.routers.values():
            router.members.change(known)
        self.routers[name] = Router(members, ledger, exchange)
        exchange.start()
        members.change(known)

    def stop(self) -> None:
        """Stop all tasks."""
        for router in self.routers.values():
            router.exchange.stop()
        self.run(0.0)

    def run(self, seconds: float) -> None:
        """Advance the clock, running what is due."""
        self.clock.run(self.clock.now() + seconds)

    def block(self, fingerprint: str, name: str = "r0") -> None:
        """Record enough crashes at a router to block a request."""
        ledger = self.routers[name].ledger
        for number in range(BLOCKING_COUNT):
            ledger.record_crash(fingerprint, number + 1, TargetLife(f"{fingerprint}-{number}"))

    def not_blocking(self, fingerprint: str) -> list[str]:
        """Return the names of routers that would still send a request."""
        return [
            name
            for name, router in self.routers.items()
            if router.ledger.blocked_until(fingerprint) is None
        ]
