"""Tests of data centres that operators empty, and of targets that are cold.

Seen when the deployment that has both was played for the first time: targets of an emptied data
centre went on getting all their work, and a target that had just started got more than it bears.
"""

from __future__ import annotations

import json
import unittest

from loomyard_router.platform.documents import decode_target
from test_loomyard_router.test_routed.routed_case import RoutedCase, route
from test_loomyard_router.test_routed.scripted_target import plain_script


class EmptiedDataCentreTest(RoutedCase):
    def test_a_data_centre_that_is_emptied_gets_no_new_work_until_it_is_taken_back(self) -> None:
        for data_centre in ("north", "south"):
            target = self.target(f"t-{data_centre}", plain_script)
            self.announce(target.announced(data_centre=data_centre))
        self.tables.put("evacuate/north", b"{}")
        # Records come in order, so what stands before this version was read with it.
        self.publish(route(), version=2)
        self.assertEqual(["t-south"], [one.id for one in self.router.registry.usable("plain")])
        self.tables.put("evacuate/north", None)
        self.publish(route(), version=3)
        self.assertEqual(2, len(self.router.registry.usable("plain")))


class ColdTargetTest(unittest.TestCase):
    def test_a_target_that_says_that_it_is_cold_is_told_apart(self) -> None:
        announced = {"service": "s", "address": "127.0.0.1:1", "state": "ready"}
        cold, warm = (
            decode_target("t", json.dumps({**announced, "cold_left_ms": left}).encode()).unwrap()
            for left in (3000, 0)
        )
        self.assertNotEqual(warm, cold)


if __name__ == "__main__":
    unittest.main()
