"""Tests of parsing and checking the settings."""

from __future__ import annotations

import unittest

from loomyard.errors import ResultCode
from loomyard_router.settings import parse_settings

GOOD = ["--name", "r", "--log-service", "127.0.0.1:7000"]


class SettingsTest(unittest.TestCase):
    def test_all_faults_of_flags_and_environment_are_reported_at_once(self) -> None:
        arguments = [*GOOD, "--routers", "many", "--drain-seconds", "soon"]
        environment = {"LOOMYARD_POLICY": "lottery", "LOOMYARD_LOG_FORMAT": "xml"}
        faults = parse_settings(arguments, environment).unwrap_err()
        fields = {fault.field for fault in faults}
        self.assertEqual(fields, {"policy", "log_format", "routers", "drain_seconds"})
        self.assertEqual({fault.code for fault in faults}, {ResultCode.INVALID_SETTING})

    def test_a_position_outside_the_number_of_routers_is_a_fault(self) -> None:
        (fault,) = parse_settings([*GOOD, "--routers", "2", "--position", "2"], {}).unwrap_err()
        self.assertEqual(fault.field, "position")

    def test_valid_settings(self) -> None:
        settings = parse_settings([*GOOD, "--policy", "local", "--routers", "2"], {}).unwrap()
        self.assertEqual((settings.policy, settings.routers), ("local", 2))


if __name__ == "__main__":
    unittest.main()
