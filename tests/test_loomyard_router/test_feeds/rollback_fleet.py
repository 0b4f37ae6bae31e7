"""Routers that follow a configuration, evacuations and targets of a store with rollbacks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from result import Err, Ok, Result

from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.evacuated_data_centres import EvacuatedDataCentres
from loomyard_router.announced.order_rollback_policy import OrderRollbackPolicy
from loomyard_router.announced.target_feed import TargetFeed
from loomyard_router.announced.target_registry import TargetRegistry
from loomyard_router.announced.target_rollback_policy import TargetRollbackPolicy
from loomyard_router.feeds.fan_out_consumer import FanOutConsumer
from loomyard_router.feeds.unreadable_entries import UnreadableEntries
from loomyard_router.feeds.unreadable_entry import (
    UnreadableEntry,
    UnreadableReason,
    make_unreadable_entry,
)
from loomyard_router.routes.route_table import RouteTable, make_route_table
from loomyard_router.routes.route_table_consumer import RouteTableConsumer
from loomyard_router.routes.route_table_holder import RouteTableHolder
from test_loomyard_router.test_feeds.feed_fleet import FeedFleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.announced.departure_terms import DepartureTerms
    from loomyard_router.feeds.record_consumer import RecordConsumer
    from loomyard_router.feeds.rollback_policy import RollbackPolicy

CONFIGURATION, TARGETS = "configuration", "targets"
KEY = "config"
EVACUATION = "evacuate/"
SERVICE = "engine"
LEAVING = b"draining"
READY = b"ready"


def decode_table(data: bytes) -> Result[RouteTable, UnreadableEntry]:
    if not data.isdigit():
        return Err(make_unreadable_entry(UnreadableReason.SYNTAX, data))
    return Ok(make_route_table(version=int(data), routes=[], services=[], accounts=None))


def decode_target(key: str, data: bytes) -> Result[AnnouncedTarget, UnreadableEntry]:
    """Decode a target; the part of its key before a dash is its data centre."""
    return Ok(
        AnnouncedTarget(
            id=key,
            service=SERVICE,
            address="127.0.0.1:1",
            data_centre=key.partition("-")[0],
            draining=data == LEAVING,
        )
    )


def find_evacuated(key: str) -> str | None:
    return key.removeprefix(EVACUATION) if key.startswith(EVACUATION) else None


@define(eq=False)
class RouterState:
    """The configuration and targets of one router."""

    holder: RouteTableHolder
    evacuated: EvacuatedDataCentres
    registry: TargetRegistry

    @property
    def usable(self) -> set[str]:
        return {target.id for target in self.registry.usable(SERVICE)}


class RollbackFleet(FeedFleet):
    """Three routers unless said otherwise; a restarted router has no state."""

    def __init__(
        self, count: int = 3, *, seed: int = 1, departures: DepartureTerms | None = None
    ) -> None:
        self._departures = departures
        super().__init__(count, seed=seed)

    def state_of(self, name: str) -> RouterState:
        """Return the state of a router since its last start."""
        return self._by_name[name]

    def publish_initial(self) -> None:
        self._by_name: dict[str, RouterState] = {}
        self.stores[CONFIGURATION].publish(KEY, b"1")
        for key in ("north-0", "north-1", "south-0", "south-1"):
            self.stores[TARGETS].publish(key, READY)

    def make_consumer(self, feed: str) -> RecordConsumer:
        if feed == CONFIGURATION:
            registry = TargetRegistry(
                self.clock, times=self.newest_times, departures=self._departures
            )
            evacuated = EvacuatedDataCentres(find_evacuated)
            evacuated.subscribe(registry.set_evacuated)
            self._newest = RouterState(RouteTableHolder(decode_table), evacuated, registry)
            tables = RouteTableConsumer(self._newest.holder, KEY, UnreadableEntries())
            return FanOutConsumer((evacuated, tables))
        return TargetFeed(self._newest.registry, decode_target, UnreadableEntries())

    def make_rollback_policy(self, feed: str) -> RollbackPolicy:
        if feed == CONFIGURATION:
            return OrderRollbackPolicy(find_evacuated)
        return TargetRollbackPolicy(decode_target)

    def make_hurry(self, feed: str) -> Callable[[], bool]:
        registry = self._newest.registry
        return lambda: feed == TARGETS and registry.awaits_returns

    def router_made(self, name: str) -> None:
        self._by_name[name] = self._newest
