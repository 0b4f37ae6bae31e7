"""Tests that no router sends requests to an evacuated data centre, also after outages."""

from __future__ import annotations

import unittest

from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.evacuated_data_centres import EvacuatedDataCentres
from loomyard_router.announced.target_registry import TargetRegistry
from loomyard_router.feeds.keyed_record import KeyedRecord
from loomyard_router.platform.documents import find_evacuated_data_centre
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.memory_store import Outage
from test_loomyard_router.test_feeds.feed_fleet import FeedFleet
from test_loomyard_router.test_routed.routed_case import RoutedCase, route
from test_loomyard_router.test_routed.scripted_target import plain_script

KEY = "evacuate/north"
# Users require that an order takes effect within 5 s of its acknowledgement and within 3 s of the
# return of the store. Less than that, since requests decided just before are still sent then.
BOUND = 2.5


def record(offset: int, key: str = KEY, value: bytes | None = b"{}") -> KeyedRecord:
    return KeyedRecord(key=key, value=value, offset=offset)


class EvacuatedDataCentresTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.registry = TargetRegistry(self.clock)
        self.targets = [
            AnnouncedTarget(id=f"t-{name}", service="s", address="127.0.0.1:1", data_centre=name)
            for name in ("north", "south")
        ]
        self.registry.replace_all(self.targets)
        self.evacuated = EvacuatedDataCentres(find_evacuated_data_centre)
        self.evacuated.subscribe(self.registry.set_evacuated)

    def usable(self) -> list[str]:
        return [target.id for target in self.registry.usable("s")]

    def test_an_order_holds_until_its_record_is_deleted_whatever_its_value(self) -> None:
        for value in (b"{}", b"", b"null", b"[[[", b"\xff"):
            with self.subTest(value=value):
                self.evacuated.apply_records([record(1, value=value or b"0")])
                self.assertEqual(["t-south"], self.usable())
                self.evacuated.apply_records([record(2, value=None)])
                self.assertEqual(2, len(self.usable()))

    def test_the_last_of_several_records_of_one_read_counts(self) -> None:
        self.evacuated.apply_records([record(1), record(2, value=None), record(3)])
        self.assertEqual(["t-south"], self.usable())
        self.evacuated.apply_records([record(4, value=None), record(5), record(6, value=None)])
        self.assertEqual(2, len(self.usable()))

    def test_a_listing_without_the_order_reinstates_the_data_centre(self) -> None:
        self.evacuated.apply_listing([record(1)], "store")
        self.evacuated.apply_records([record(2, key="config", value=b"x")])
        self.assertEqual(["t-south"], self.usable())
        self.evacuated.apply_listing([record(2, key="config", value=b"x")], "peer")
        self.assertEqual(2, len(self.usable()))

    def test_a_target_for_which_a_slot_was_granted_before_is_not_usable(self) -> None:
        self.assertTrue(self.registry.is_usable(self.targets[0]))
        self.evacuated.apply_records([record(1)])
        self.assertFalse(self.registry.is_usable(self.targets[0]))

    def test_targets_in_grace_and_new_ones_in_the_data_centre_are_not_usable(self) -> None:
        self.registry.on_store_lost()
        self.registry.apply([], ["t-north"])
        self.assertEqual(2, len(self.usable()))
        self.evacuated.apply_records([record(1)])
        new = AnnouncedTarget(id="t-new", service="s", address="127.0.0.1:2", data_centre="north")
        self.registry.apply([new], [])
        self.assertEqual(["t-south"], self.usable())

    def test_no_target_is_usable_if_all_data_centres_are_evacuated(self) -> None:
        self.evacuated.apply_records([record(1), record(2, key="evacuate/south")])
        self.assertEqual([], self.usable())


class EvacuatedRouterTest(RoutedCase):
    def test_a_request_without_a_usable_target_is_refused_unsent(self) -> None:
        target = self.target("t-north", plain_script)
        self.announce(target.announced(data_centre="north"))
        self.tables.put(KEY, b"{}")
        self.publish(route(), version=2)
        response = self.call()
        self.assertEqual(503, response.status)
        self.assertTrue(response.getheader("Retry-After"))
        self.assertEqual(0, len(target.received))


class EvacuationInOutagesTest(unittest.TestCase):
    """Orders come by the configuration feed, so its outages delay them."""

    def test_all_routers_receive_an_order_in_time(self) -> None:
        for outage in Outage:
            for without in (3, 7):
                with self.subTest(outage=outage, without=without):
                    fleet = FeedFleet(7)
                    self.addCleanup(fleet.stop)
                    store = fleet.stores["configuration"]
                    store.publish(KEY, b"before")
                    fleet.run(0.3)
                    store.fail(list(fleet.routers)[:without], outage)
                    fleet.run(6.0)
                    if without == 7:
                        store.heal()
                    at = store.publish(KEY, b"order")
                    fleet.run(3 * BOUND)
                    last = fleet.last_arrival("configuration", b"order") - at
                    self.assertLessEqual(last, BOUND)


if __name__ == "__main__":
    unittest.main()
