"""Tests that targets get no requests after they left, and that lapsed entries empty no service."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

import gevent

from loomyard_router.announced.departure_terms import SEND_SECONDS, DepartureTerms
from loomyard_standins.memory_store import Outage
from test_loomyard_router.test_feeds.rollback_fleet import (
    LEAVING,
    READY,
    SERVICE,
    TARGETS,
    RollbackFleet,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

TERMS = DepartureTerms(drain=2.0, contact=3.0)
STEP_SECONDS = 0.05
# Live targets write their entries again within so many seconds after they reach the store.
RETURN_SECONDS = 2.0
# Entries of live targets lapse within a heartbeat of each other.
HEARTBEAT_SECONDS = 1.2
SEEDS = 4


class DepartureFleet(RollbackFleet):
    """Routers that follow one service of any size."""

    def __init__(self, routers: int, targets: int, *, seed: int) -> None:
        self._initial = [f"zone-{number}" for number in range(targets)]
        super().__init__(routers, seed=seed, departures=TERMS)

    def publish_initial(self) -> None:
        super().publish_initial()
        for key in ("north-0", "north-1", "south-0", "south-1"):
            self.stores[TARGETS].publish(key, None)
        for key in self._initial:
            self.stores[TARGETS].publish(key, READY)

    def usable(self, router: str) -> set[str]:
        """Return the targets that a router may choose now."""
        return self.state_of(router).usable

    def write(self, key: str, value: bytes | None) -> float:
        """Write an entry; return when the store accepted it."""
        return self.stores[TARGETS].publish(key, value)


class DeparturesTest(unittest.TestCase):
    def start(self, routers: int, targets: int, seed: int) -> DepartureFleet:
        fleet = DepartureFleet(routers, targets, seed=seed)
        self.addCleanup(fleet.stop)
        return fleet

    def assert_unused_after_drain(
        self, fleet: DepartureFleet, left_at: dict[str, float], seconds: float
    ) -> None:
        """Let time pass; no router may choose a target so late that it arrives after its drain."""
        end = fleet.clock.now() + seconds
        while fleet.clock.now() < end:
            fleet.run(STEP_SECONDS)
            for router in fleet.routers:
                for key in fleet.usable(router) & left_at.keys():
                    age = fleet.clock.now() - left_at[key]
                    self.assertLessEqual(age, TERMS.drain - SEND_SECONDS, (router, key))

    def leave(
        self, fleet: DepartureFleet, keys: Iterable[str], rng: random.Random, apart: float
    ) -> dict[str, float]:
        """Let targets leave at once or moments apart, some announced, beside other changes."""
        left_at: dict[str, float] = {}
        for key in keys:
            if rng.random() < 0.5:
                # Another entry changes just before, after which routers pause before they read on.
                fleet.write(f"zone-new-{key}", READY)
                self.assert_unused_after_drain(fleet, left_at, rng.uniform(0.0, 0.6))
            is_announced = rng.random() < 0.3
            left_at[key] = fleet.write(key, LEAVING if is_announced else None)
            self.assert_unused_after_drain(fleet, left_at, rng.uniform(0.0, apart))
        return left_at

    def check_departures(self, routers: int, seed: int) -> None:
        rng = random.Random(f"departures {routers} {seed}")
        targets = rng.choice((1, 2, 3, 4, 12, 40))
        fleet = self.start(routers, targets, seed)
        keys = [f"zone-{number}" for number in range(targets)]
        leaving = rng.sample(keys, rng.choice((targets, max(1, targets // 2), targets - 1 or 1)))
        fleet.run(rng.uniform(0.0, 1.5))
        left_at = self.leave(fleet, leaving, rng, rng.choice((0.0, 0.1, 0.7)))
        self.assert_unused_after_drain(fleet, left_at, 4.0)
        for router in fleet.routers:
            self.assertFalse(fleet.usable(router) & left_at.keys())

    def test_targets_that_leave_together_get_no_requests_after_their_drain(self) -> None:
        # Guards against requests at targets after they left, counted from the store's ack.
        for routers in (2, 3, 12):
            for seed in range(SEEDS):
                with self.subTest(routers=routers, seed=seed):
                    self.check_departures(routers, seed)

    def test_a_router_that_reads_late_uses_no_target_that_has_left(self) -> None:
        # Guards against a grace that begins when a router learns of a departure.
        for routers in (3, 12):
            for outage in Outage:
                with self.subTest(routers=routers, outage=outage):
                    fleet = self.start(routers, 4, seed=7)
                    store = fleet.stores[TARGETS]
                    cut = fleet.clock.now()
                    store.fail(["r0"], outage)
                    left_at = {"zone-0": fleet.write("zone-0", None)}
                    left_at["zone-1"] = fleet.write("zone-1", None)
                    fleet.run(1.6)
                    store.heal()
                    healed = fleet.clock.now()
                    # Until then the router that was cut off is not bound by what it could not read.
                    fleet.run(healed + TERMS.contact - SEND_SECONDS - fleet.clock.now())
                    self.assertGreater(healed, cut)
                    self.assert_unused_after_drain(fleet, left_at, 3.0)

    def test_a_process_that_was_paused_uses_no_target_that_has_left(self) -> None:
        # Guards against a pause that makes an old record look like one accepted just now.
        for pause in (0.7, 1.5, 2.5, 6.0):
            for phase in (0.1, 0.6, 0.9):
                with self.subTest(pause=pause, phase=phase):
                    fleet = self.start(2, 4, seed=3)
                    fleet.run(phase)
                    store = fleet.stores[TARGETS]
                    clock = fleet.clock
                    for key in ("zone-0", "zone-1"):
                        store.publish(key, None)
                    left_at = dict.fromkeys(("zone-0", "zone-1"), clock.now())
                    clock.pause(pause)
                    gevent.sleep(0)
                    fleet.run(0.15)
                    self.assert_unused_after_drain(fleet, left_at, 4.0)


class LapsedEntriesTest(unittest.TestCase):
    def start(self, routers: int, targets: int, seed: int) -> DepartureFleet:
        fleet = DepartureFleet(routers, targets, seed=seed)
        self.addCleanup(fleet.stop)
        return fleet

    def assert_never_empty(self, fleet: DepartureFleet, seconds: float) -> None:
        """Let time pass; each router must be able to choose some target at all times."""
        end = fleet.clock.now() + seconds
        while fleet.clock.now() < end:
            fleet.run(STEP_SECONDS)
            for router in fleet.routers:
                self.assertTrue(fleet.usable(router), (router, SERVICE, fleet.clock.now()))

    def test_a_service_whose_entries_lapse_in_an_outage_is_not_emptied(self) -> None:
        # Guards against an emptied service after an outage in which all entries lapsed.
        for routers in (2, 7, 12):
            for outage in Outage:
                for seed in range(SEEDS):
                    with self.subTest(routers=routers, outage=outage, seed=seed):
                        self.check_outage(routers, outage, seed)

    def check_outage(self, routers: int, outage: Outage, seed: int) -> None:
        rng = random.Random(f"outage {routers} {outage} {seed}")
        targets = rng.choice((1, 2, 3, 12))
        fleet = self.start(routers, targets, seed)
        keys = [f"zone-{number}" for number in range(targets)]
        store = fleet.stores[TARGETS]
        store.fail(fleet.routers, outage)
        self.assert_never_empty(fleet, rng.uniform(3.0, 9.0))
        for key in keys:
            store.publish(key, None)
        store.heal()
        back_at = sorted(rng.uniform(0.3, RETURN_SECONDS - 0.5) for _ in keys)
        passed = 0.0
        for key, at in zip(keys, back_at, strict=True):
            self.assert_never_empty(fleet, at - passed)
            passed = at
            store.publish(key, READY)
        self.assert_never_empty(fleet, 4.0)
        for router in fleet.routers:
            self.assertEqual(set(keys), fleet.usable(router))

    def test_a_service_whose_entries_lapse_under_routers_that_read_well_is_not_emptied(
        self,
    ) -> None:
        # Guards against an emptied service while its targets can't reach the store and routers can.
        for seed in range(3 * SEEDS):
            with self.subTest(seed=seed):
                rng = random.Random(f"lapse {seed}")
                targets = rng.choice((1, 2, 3, 12))
                fleet = self.start(rng.choice((2, 3, 7)), targets, seed)
                keys = [f"zone-{number}" for number in range(targets)]
                fleet.run(rng.uniform(0.0, 1.5))
                for key in keys:
                    fleet.write(key, None)
                self.assert_never_empty(fleet, rng.uniform(0.3, 0.9))
                for key in keys:
                    fleet.write(key, READY)
                self.assert_never_empty(fleet, 3.0)


if __name__ == "__main__":
    unittest.main()
