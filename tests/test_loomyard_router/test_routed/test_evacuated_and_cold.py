"""Tests of evacuated data centres and of cold targets.

They guard against two faults: targets of an evacuated data centre kept getting all their requests,
and a target that had just started got more requests than it can bear while cold.
"""

from __future__ import annotations

import json
import unittest

from loomyard_router.platform.documents import decode_target
from test_loomyard_router.test_routed.routed_case import RoutedCase, route
from test_loomyard_router.test_routed.scripted_target import plain_script


class EvacuatedDataCentreTest(RoutedCase):
    def test_an_evacuated_data_centre_gets_no_new_requests_until_it_is_reinstated(self) -> None:
        for data_centre in ("north", "south"):
            target = self.target(f"t-{data_centre}", plain_script)
            self.announce(target.announced(data_centre=data_centre))
        self.tables.put("evacuate/north", b"{}")
        # Records are read in order, so the router has read the earlier ones with this version.
        self.publish(route(), version=2)
        self.assertEqual(["t-south"], [one.id for one in self.router.registry.usable("plain")])
        self.tables.put("evacuate/north", None)
        self.publish(route(), version=3)
        self.assertEqual(2, len(self.router.registry.usable("plain")))


class ColdTargetTest(unittest.TestCase):
    def test_a_target_that_announces_that_it_is_cold_differs_from_a_warm_one(self) -> None:
        announced = {"service": "s", "address": "127.0.0.1:1", "state": "ready"}
        cold, warm = (
            decode_target("t", json.dumps({**announced, "cold_left_ms": left}).encode()).unwrap()
            for left in (3000, 0)
        )
        self.assertNotEqual(warm, cold)


if __name__ == "__main__":
    unittest.main()
