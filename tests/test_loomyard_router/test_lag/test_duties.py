"""Tests of the duties of a router that lags."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from loomyard.rendezvous import rank
from loomyard_router.admission.share_tree import KEY
from loomyard_router.feeds.feed_readers import MAX_FLEET_ALL_READ
from test_loomyard_router.test_offload.offload_case import OffloadCase
from test_loomyard_router.test_routed.routed_case import route
from test_loomyard_router.test_routed.scripted_target import plain_script

if TYPE_CHECKING:
    from loomyard_router.routed_application import RoutedApplication

# Users want changes in force in three seconds; a lag is one.
SECONDS = 3.0
LAG = 0.2
TARGETS = 24


class DutiesTest(OffloadCase):
    """Twelve routers, since in a fleet of ten all read the feeds."""

    count = MAX_FLEET_ALL_READ + 2

    def setUp(self) -> None:
        super().setUp()
        for number in range(TARGETS):
            self.target(f"t{number}", plain_script, service="engine")
        self.publish(route(service="engine"))
        names = [one.members.own.name for one in self.routers]
        root = rank(KEY, names)[0]
        self.lagging = next(one for one in self.routers if one.members.own.name == root)
        # The lag of the host that runs the tests does not count.
        self.lagging._lag_monitor._threshold = LAG / 2
        self.others = [one for one in self.routers if one is not self.lagging]

    def holders(self, router: RoutedApplication) -> set[str]:
        """Return the routers that another one takes for owners of slots, for root and readers."""
        owner_of = router._admission.slot_client.owner_of
        owners = {owner_of(target.incarnation) for target in router.registry.listed()}
        parent = router._admission.ledger._parent.name
        readers = {
            reader
            for fetcher in router._feed_exchange._fetchers.values()
            for reader in fetcher.readers
        }
        return owners | readers | ({parent} if parent else set())

    def await_duties(self, *, held: bool) -> bool:
        name = self.lagging.members.own.name
        with gevent.Timeout(SECONDS, False):
            while True:
                if all((name in self.holders(one)) == held for one in self.others):
                    return True
                gevent.sleep(0.05)
        return False

    # Guards against a fleet that waits for a router whose core is full.
    def test_a_router_that_lags_hands_over_its_duties_and_takes_them_back(self) -> None:
        self.assertTrue(self.await_duties(held=True))
        lagging = gevent.spawn(self.lag)
        self.assertTrue(self.await_duties(held=False))
        gevent.sleep(1.0)
        self.assertTrue(self.await_duties(held=False))
        lagging.kill()
        gevent.sleep(9.0)
        self.assertTrue(self.await_duties(held=True))

    def lag(self) -> None:
        while True:
            self.lagging._lag_monitor.record(LAG)
            gevent.sleep(0.1)
