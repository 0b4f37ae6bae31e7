"""Tests of the history of origins of a router that adopted the past of another one."""

from __future__ import annotations

import random
import unittest

from result import Ok

from loomyard_router.announced.target_registry import TargetRegistry
from loomyard_router.members.membership import Member
from loomyard_router.routes.kind import RouteKind
from loomyard_router.routes.route_table import make_route_table
from loomyard_router.routes.route_table_holder import RouteTableHolder
from loomyard_router.routes.weighted_service import WeightedService
from loomyard_router.streams.origin_history import HISTORY_SECONDS, OriginHistory
from loomyard_router.supervision.failures import failure_counts
from loomyard_standins.stepped_clock import SteppedClock
from test_loomyard_router.test_routed.routed_case import route
from test_loomyard_router.test_streams.streams_fleet import PausableMembers, make_targets

SEEDS = 40
STEPS = 12
NAMES = ("a", "b", "c", "d")
SERVICES = ("engine", "other", "third")


class Observer:
    """A router that observes versions of the configuration and announcements."""

    def __init__(self, clock: SteppedClock) -> None:
        self._clock = clock
        self.registry = TargetRegistry(clock, first_start=False)
        self._tables: list = []
        self.holder = RouteTableHolder(lambda data: Ok(self._tables[int(data)]))
        own = Member(name="r", incarnation=1, address="", data_centre="d")
        self.members = PausableMembers(own, [own])
        self.history = OriginHistory(
            clock=clock, registry=self.registry, holder=self.holder, members=self.members
        )
        self.registry.replace_all(make_targets(("v1",)))

    def publish(self, version: int, streams: dict[str, str]) -> None:
        """Put a version in force with a route of streams for each name."""
        routes = [
            route(
                f"/{name}/",
                name=name,
                kind=RouteKind.STREAM,
                resumable=True,
                weighted_services=(WeightedService(service=service, weight=1.0),),
            )
            for name, service in streams.items()
        ]
        self._tables.append(
            make_route_table(version=version, routes=routes, services=[], accounts=None)
        )
        self.holder.offer(str(len(self._tables) - 1).encode(), "store")


class OriginHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = SteppedClock()

    # Guards against a router that follows the configuration no more once another one has told it
    # of a route of streams that is gone.
    def test_a_route_that_only_another_router_knew_does_not_stop_later_versions(self) -> None:
        old = Observer(self.clock)
        old.publish(1, {"draft": "engine", "gone": "engine"})
        old.publish(2, {"draft": "engine"})
        new = Observer(self.clock)
        before = failure_counts()
        new.publish(2, {"draft": "engine"})
        new.history.adopt(old.history.past())
        for version in (3, 4):
            new.publish(version, {"draft": "engine", "added": "engine"})
            self.assertEqual(version, new.holder.version)
        self.assertEqual(before, failure_counts())
        self.assertEqual(HISTORY_SECONDS, new.history.required_seconds("gone"))

    # Guards against any other sequence of routes, services and adopted pasts that does the same.
    def test_routers_that_adopt_each_others_past_follow_every_version(self) -> None:
        for seed in range(SEEDS):
            rng = random.Random(seed)
            observers = [Observer(self.clock)]
            before = failure_counts()
            for version in range(1, STEPS + 1):
                streams = {
                    name: rng.choice(SERVICES) for name in rng.sample(NAMES, rng.randrange(4))
                }
                if rng.random() < 0.4:
                    observers.append(Observer(self.clock))
                for observer in observers:
                    if rng.random() < 0.3:
                        observer.members.paused(1.0)
                    if rng.random() < 0.5:
                        observer.history.adopt(rng.choice(observers).history.past())
                    observer.publish(version, streams)
                    self.assertEqual(version, observer.holder.version, f"seed {seed}")
                    announced = {name for name, service in streams.items() if service == "engine"}
                    for name in announced:
                        possible = {one.service for one in observer.history.possible(name)}
                        self.assertIn("engine", possible, f"seed {seed}")
                self.clock.run(self.clock.now() + rng.choice((0.1, 5.0, 400.0)))
            self.assertEqual(before, failure_counts(), f"seed {seed}")


if __name__ == "__main__":
    unittest.main()
