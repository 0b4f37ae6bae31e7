"""A model of a store that falls back, its writers and three routers, played by drawn rules.

At every moment: versions never fall, a data centre that is emptied stays so, who leaves or ended
gets no new work. After each quiet time every router holds exactly what the store holds.
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
from test_loomyard_router.test_feeds.eras_fleet import (
    CONFIGURATION,
    EMPTYING,
    KEY,
    LEAVING,
    READY,
    TARGETS,
    ErasFleet,
)

# Beyond all that is held, and all that a router may be behind.
QUIET = 18.0
EXAMPLES = 15
STEPS = 14
PLAYED = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=True,
    database=None,
    deadline=None,
    # A failing play is printed whole; to shrink one takes minutes.
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
ROUTERS = st.sampled_from(["r0", "r1", "r2"])
DATA_CENTRES = st.sampled_from(["north", "south"])
OUTAGES = st.sampled_from(list(Outage))


class StoreWithLosses(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.fleet = ErasFleet()
        self.version = 1
        self.targets = 2
        # What writers want to stand there, whatever the store lost.
        self.wanted: dict[str, dict[str, bytes | None]] = {
            feed: {one.key: one.value for one in store.newest()}
            for feed, store in self.fleet.stores.items()
        }
        self.seen_versions: dict[str, int] = {}
        self.seen_emptied: dict[str, set[str]] = {}
        self.seen_out: dict[str, set[str]] = {}

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
    def empty(self, name: str) -> None:
        self.write(CONFIGURATION, EMPTYING + name, b"{}")

    @rule(name=DATA_CENTRES)
    def take_back(self, name: str) -> None:
        if self.wanted[CONFIGURATION].get(EMPTYING + name):
            self.write(CONFIGURATION, EMPTYING + name, None)

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
    def end(self, number: int) -> None:
        leaving = sorted(key for key, value in self.wanted[TARGETS].items() if value == LEAVING)
        if leaving:
            self.write(TARGETS, leaving[number % len(leaving)], None)

    @rule(seconds=st.sampled_from([0.05, 0.4, 1.5, 4.0]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(name=ROUTERS, outage=OUTAGES, seconds=st.sampled_from([0.5, 3.0]))
    def keep_a_router_from_the_store(self, name: str, outage: Outage, seconds: float) -> None:
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
    def start_again(self, name: str) -> None:
        self.fleet.restart(name)
        for seen in (self.seen_versions, self.seen_emptied, self.seen_out):
            seen.pop(name, None)  # type: ignore[attr-defined]
        self.fleet.run(1.5)

    @rule(
        age=st.sampled_from([0.3, 3.0, 8.0]),
        outage=OUTAGES,
        away=st.sampled_from([0.1, 1.0]),
        later=st.sampled_from([0.0, 0.4, 1.5]),
        more=st.integers(0, 5),
        seed=st.integers(0, 99),
    )
    def fall_back(
        self, age: float, outage: Outage, away: float, later: float, more: int, seed: int
    ) -> None:
        """Lose seconds of writes; writers write again what they want, in another order."""
        for store in self.fleet.stores.values():
            store.fail(self.fleet.routers, outage)
        self.fleet.run(away)
        lost = {feed: store.fall_back(age) for feed, store in self.fleet.stores.items()}
        for feed, store in self.fleet.stores.items():
            for number in range(more):
                store.publish(f"{'other' if feed == CONFIGURATION else 'north'}-x{number}", b"1")
                self.wanted[feed][
                    f"{'other' if feed == CONFIGURATION else 'north'}-x{number}"
                ] = b"1"
            store.heal()
        self.fleet.run(later)
        for feed, records in lost.items():
            keys = sorted({record.key for record in records})
            random.Random(seed).shuffle(keys)
            for key in keys:
                self.fleet.stores[feed].publish(key, self.wanted[feed].get(key))

    @rule()
    def quiet(self) -> None:
        """Let all be written again and heard, and compare."""
        self.fleet.run(QUIET)
        tables = {one.key: one.value for one in self.fleet.stores[CONFIGURATION].newest()}
        targets = {one.key: one.value for one in self.fleet.stores[TARGETS].newest()}
        emptied = {key.removeprefix(EMPTYING) for key in tables if key.startswith(EMPTYING)}
        usable = {
            key
            for key, value in targets.items()
            if value != LEAVING and key.partition("-")[0] not in emptied
        }
        for name in self.fleet.routers:
            held = self.fleet.holding(name)
            assert held.holder.version == int(tables[KEY] or b"0"), (name, "version")
            assert held.emptied.names == emptied, (name, "emptied")
            assert held.usable == usable, (name, held.usable ^ usable)

    @invariant()
    def versions_never_fall(self) -> None:
        for name in self.fleet.routers:
            version = self.fleet.holding(name).holder.version
            assert version >= self.seen_versions.get(name, -1), name
            self.seen_versions[name] = version

    @invariant()
    def what_is_emptied_stays_emptied(self) -> None:
        ordered = {
            key.removeprefix(EMPTYING)
            for key, value in self.wanted[CONFIGURATION].items()
            if key.startswith(EMPTYING) and value
        }
        for name in self.fleet.routers:
            names = self.fleet.holding(name).emptied.names
            seen = self.seen_emptied.setdefault(name, set()) & ordered
            assert seen <= names, (name, seen - names)
            self.seen_emptied[name] = seen | (names & ordered)

    @invariant()
    def who_leaves_or_ended_gets_no_work_again(self) -> None:
        out = {key for key, value in self.wanted[TARGETS].items() if value in (LEAVING, None)}
        for name in self.fleet.routers:
            usable = self.fleet.holding(name).usable
            seen = self.seen_out.setdefault(name, set())
            assert not seen & usable, (name, seen & usable)
            if self.fleet.holding(name).registry.ready:
                self.seen_out[name] = seen | (out - usable)


class StoreErasModelTest(unittest.TestCase):
    def test_what_routers_hold_through_losses(self) -> None:
        run_state_machine_as_test(StoreWithLosses, settings=PLAYED)

    def test_comparing_offsets_alone_is_found(self) -> None:
        def make(_: int, offset: int) -> FeedPosition:
            return FeedPosition(0, offset)

        faulty: Any = mock.patch.object(memory_store, "FeedPosition", make)
        with faulty, self.assertRaises(AssertionError):
            run_state_machine_as_test(StoreWithLosses, settings=PLAYED)


if __name__ == "__main__":
    unittest.main()
