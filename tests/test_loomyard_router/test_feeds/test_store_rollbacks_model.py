"""A stateful property test of a store with rollbacks, its writers and three routers.

At every moment versions never decrease, an evacuated data centre stays evacuated, and a target that
leaves or ended gets no new work. After each quiet time every router has exactly what the store has.
"""

from __future__ import annotations

import random
import unittest
from typing import Any
from unittest import mock

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_standins import memory_store
from loomyard_standins.memory_store import Outage
from test_loomyard_router.test_feeds.rollback_fleet import (
    CONFIGURATION,
    EVACUATION,
    KEY,
    LEAVING,
    READY,
    TARGETS,
    RollbackFleet,
)

# Seconds longer than any retention and than a router may be behind.
QUIET = 18.0
EXAMPLES = 15
STEPS = 14
RUN_SETTINGS = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=True,
    database=None,
    deadline=None,
    # A failing example is printed whole, as shrinking one takes minutes.
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
ROUTERS = st.sampled_from(["r0", "r1", "r2"])
DATA_CENTRES = st.sampled_from(["north", "south"])
OUTAGES = st.sampled_from(list(Outage))


class StoreWithRollbacks(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.fleet = RollbackFleet()
        self.version = 1
        self.targets = 2
        # What writers want in the store, whatever it lost.
        self.wanted: dict[str, dict[str, bytes | None]] = {
            feed: {one.key: one.value for one in store.newest_records()}
            for feed, store in self.fleet.stores.items()
        }
        self.seen_versions: dict[str, int] = {}
        self.seen_evacuated: dict[str, set[str]] = {}
        self.seen_unusable: dict[str, set[str]] = {}

    def teardown(self) -> None:
        self.quiet()
        self.fleet.stop()

    def write(self, feed: str, key: str, value: bytes | None) -> None:
        self.wanted[feed][key] = value
        self.fleet.stores[feed].publish(key, value)

    @rule()
    def publish_a_version(self) -> None:
        self.version += 1
        self.write(CONFIGURATION, KEY, str(self.version).encode())

    @rule(name=DATA_CENTRES)
    def evacuate(self, name: str) -> None:
        self.write(CONFIGURATION, EVACUATION + name, b"{}")

    @rule(name=DATA_CENTRES)
    def reinstate(self, name: str) -> None:
        if self.wanted[CONFIGURATION].get(EVACUATION + name):
            self.write(CONFIGURATION, EVACUATION + name, None)

    @rule(name=DATA_CENTRES)
    def announce(self, name: str) -> None:
        self.write(TARGETS, f"{name}-{self.targets}", READY)
        self.targets += 1

    @rule(number=st.integers(0, 9))
    def leave(self, number: int) -> None:
        live = sorted(key for key, value in self.wanted[TARGETS].items() if value == READY)
        if live:
            self.write(TARGETS, live[number % len(live)], LEAVING)

    @rule(number=st.integers(0, 9))
    def remove(self, number: int) -> None:
        leaving = sorted(key for key, value in self.wanted[TARGETS].items() if value == LEAVING)
        if leaving:
            self.write(TARGETS, leaving[number % len(leaving)], None)

    @rule(seconds=st.sampled_from([0.05, 0.4, 1.5, 4.0]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(name=ROUTERS, outage=OUTAGES, seconds=st.sampled_from([0.5, 3.0]))
    def fail_the_store_for_a_router(self, name: str, outage: Outage, seconds: float) -> None:
        for store in self.fleet.stores.values():
            store.fail([name], outage)
        self.fleet.run(seconds)
        for store in self.fleet.stores.values():
            store.heal()

    @rule(name=ROUTERS, other=ROUTERS, seconds=st.sampled_from([0.5, 3.0]))
    def cut_two_routers(self, name: str, other: str, seconds: float) -> None:
        self.fleet.network.cut({name}, {other})
        self.fleet.run(seconds)
        self.fleet.network.heal()

    @rule(name=ROUTERS)
    def restart(self, name: str) -> None:
        self.fleet.restart(name)
        for seen in (self.seen_versions, self.seen_evacuated, self.seen_unusable):
            seen.pop(name, None)  # type: ignore[attr-defined]
        self.fleet.run(1.5)

    @rule(
        age=st.sampled_from([0.3, 3.0, 8.0]),
        outage=OUTAGES,
        outage_seconds=st.sampled_from([0.1, 1.0]),
        delay=st.sampled_from([0.0, 0.4, 1.5]),
        more=st.integers(0, 5),
        seed=st.integers(0, 99),
    )
    def roll_back(
        self, age: float, outage: Outage, outage_seconds: float, delay: float, more: int, seed: int
    ) -> None:
        """Lose the last writes; writers write the lost keys again, in another order."""
        for store in self.fleet.stores.values():
            store.fail(self.fleet.routers, outage)
        self.fleet.run(outage_seconds)
        lost = {feed: store.roll_back(age) for feed, store in self.fleet.stores.items()}
        for feed, store in self.fleet.stores.items():
            for number in range(more):
                store.publish(f"{'other' if feed == CONFIGURATION else 'north'}-x{number}", b"1")
                self.wanted[feed][
                    f"{'other' if feed == CONFIGURATION else 'north'}-x{number}"
                ] = b"1"
            store.heal()
        self.fleet.run(delay)
        for feed, records in lost.items():
            keys = sorted({record.key for record in records})
            random.Random(seed).shuffle(keys)
            for key in keys:
                self.fleet.stores[feed].publish(key, self.wanted[feed].get(key))

    @rule()
    def quiet(self) -> None:
        """Wait until all routers are up to date, and compare them with the store."""
        self.fleet.run(QUIET)
        tables = {one.key: one.value for one in self.fleet.stores[CONFIGURATION].newest_records()}
        targets = {one.key: one.value for one in self.fleet.stores[TARGETS].newest_records()}
        evacuated = {key.removeprefix(EVACUATION) for key in tables if key.startswith(EVACUATION)}
        usable = {
            key
            for key, value in targets.items()
            if value != LEAVING and key.partition("-")[0] not in evacuated
        }
        for name in self.fleet.routers:
            state = self.fleet.state_of(name)
            assert state.holder.version == int(tables[KEY] or b"0"), (name, "version")
            assert state.evacuated.names == evacuated, (name, "evacuated")
            assert state.usable == usable, (name, state.usable ^ usable)

    @invariant()
    def versions_never_decrease(self) -> None:
        for name in self.fleet.routers:
            version = self.fleet.state_of(name).holder.version
            assert version >= self.seen_versions.get(name, -1), name
            self.seen_versions[name] = version

    @invariant()
    def evacuated_data_centres_stay_evacuated(self) -> None:
        ordered = {
            key.removeprefix(EVACUATION)
            for key, value in self.wanted[CONFIGURATION].items()
            if key.startswith(EVACUATION) and value
        }
        for name in self.fleet.routers:
            names = self.fleet.state_of(name).evacuated.names
            seen = self.seen_evacuated.setdefault(name, set()) & ordered
            assert seen <= names, (name, seen - names)
            self.seen_evacuated[name] = seen | (names & ordered)

    @invariant()
    def leaving_and_ended_targets_get_no_new_work(self) -> None:
        out = {key for key, value in self.wanted[TARGETS].items() if value in (LEAVING, None)}
        for name in self.fleet.routers:
            usable = self.fleet.state_of(name).usable
            seen = self.seen_unusable.setdefault(name, set())
            assert not seen & usable, (name, seen & usable)
            if self.fleet.state_of(name).registry.ready:
                self.seen_unusable[name] = seen | (out - usable)


class StoreRollbackModelTest(unittest.TestCase):
    def test_routers_stay_consistent_through_rollbacks(self) -> None:
        run_state_machine_as_test(StoreWithRollbacks, settings=RUN_SETTINGS)

    def test_the_model_detects_positions_without_eras(self) -> None:
        def make(_: int, offset: int) -> FeedPosition:
            return FeedPosition(0, offset)

        faulty: Any = mock.patch.object(memory_store, "FeedPosition", make)
        with faulty, self.assertRaises(AssertionError):
            run_state_machine_as_test(StoreWithRollbacks, settings=RUN_SETTINGS)


if __name__ == "__main__":
    unittest.main()
