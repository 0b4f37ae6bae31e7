"""Tests of reading the settings file."""

from __future__ import annotations

import tempfile
import unittest

from loomyard_router.platform import names
from loomyard_router.platform.settings_file import parse_settings_text, read_settings
from loomyard_router.settings import FLEET_SECRET_VARIABLE

TEXT = """node_name=edge-1
ip=10.1.0.33
zone=north
listen.frontend=10.1.0.33:8783
listen.readiness=10.1.0.33:8780
internal_ports=7400,7415
seeds=10.1.0.33:8785,10.2.0.18:8785
bounds.grace_s=8
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=54
bounds.drain_ms=4000
bounds.contact_ms=5000
platform.address=10.200.1.7:8781
added.later=x=y
"""


class TestSettingsFile(unittest.TestCase):
    def test_fields(self) -> None:
        settings = parse_settings_text(TEXT).unwrap()
        self.assertEqual("10.1.0.33:8783", settings.listen)
        self.assertEqual("10.1.0.33:7400", settings.peer_listen)
        self.assertEqual("10.1.0.33:9464", settings.metrics_listen)
        self.assertEqual(("10.2.0.18:7400",), settings.seeds)
        self.assertEqual("10.200.1.7:8781", settings.store)
        self.assertEqual((0.2, 54.0), (settings.retries.ratio, settings.retries.slack))
        self.assertEqual((4.0, 5.0), (settings.departures.drain, settings.departures.contact))

    def test_a_missing_field_is_named(self) -> None:
        text = TEXT.replace("platform.address", "elsewhere")
        self.assertIn("platform.address", parse_settings_text(text).unwrap_err())

    def test_an_invalid_value_is_an_error(self) -> None:
        self.assertTrue(parse_settings_text(TEXT.replace("grace_s=8", "grace_s=x")).is_err())

    def test_a_missing_file_is_an_error(self) -> None:
        self.assertTrue(read_settings({}).is_err())

    def test_two_secrets_are_accepted_during_rotation(self) -> None:
        with tempfile.NamedTemporaryFile("w") as file:
            file.write(TEXT)
            file.flush()
            environment = {names.SETTINGS_VARIABLE: file.name}
            rotating = environment | {FLEET_SECRET_VARIABLE: "old, new"}
            self.assertEqual(("old", "new"), read_settings(rotating).unwrap().fleet_secret)
            for wrong in ("", "a,b,c"):
                read = read_settings(environment | {FLEET_SECRET_VARIABLE: wrong})
                self.assertIn(FLEET_SECRET_VARIABLE, read.unwrap_err())


if __name__ == "__main__":
    unittest.main()
