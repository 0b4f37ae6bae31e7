"""Tests of the parsing and validation of manifests."""

from __future__ import annotations

import unittest

from loomyard.manifests import read_manifests
from loomyard.objects import ClientAccount

GOOD = """
kind: ClientAccount
metadata: {name: kiosk, labels: {tier: gold}}
weight: 2
---
kind: Route
metadata: {name: all}
service: assistant
accounts: tier in (gold)
"""
BAD = """
kind: ClientAccount
metadata: {name: Kiosk}
weight: -1
---
kind: Route
metadata: {name: all}
service: assistant
accounts: "tier in"
---
kind: Router
metadata: {name: r}
"""


class ManifestTest(unittest.TestCase):
    def test_reads_objects(self) -> None:
        objects = read_manifests([("a.yaml", GOOD)]).unwrap()
        self.assertIsInstance(objects[0], ClientAccount)
        self.assertEqual(objects[0].metadata.labels, {"tier": "gold"})

    def test_numbers_are_finite(self) -> None:
        for number in (".inf", ".nan", "1e400"):
            account = GOOD.replace("weight: 2", f"weight: {number}")
            faults = read_manifests([("a.yaml", account)]).unwrap_err()
            self.assertEqual([fault.field for fault in faults], ["weight"])

    def test_refuses_aliases(self) -> None:
        text = "a: &a [x, x]\nb: &b [*a, *a]\n"
        faults = read_manifests([("d.yaml", text)]).unwrap_err()
        self.assertEqual(
            [(f.source, f.detail) for f in faults], [("d.yaml", "aliases are refused")]
        )

    def test_reports_every_fault_with_source_object_and_field(self) -> None:
        faults = read_manifests([("b.yaml", BAD), ("c.yaml", "{")]).unwrap_err()
        places = [(fault.source, fault.object, fault.field) for fault in faults]
        self.assertIn(("b.yaml", "ClientAccount/Kiosk", "weight"), places)
        self.assertIn(("b.yaml", "ClientAccount/Kiosk", "metadata.name"), places)
        self.assertIn(("b.yaml", "Route/all", "accounts"), places)
        self.assertIn(("b.yaml", "Router/r", "kind"), places)
        self.assertIn(("c.yaml", "-", "-"), places)


if __name__ == "__main__":
    unittest.main()
