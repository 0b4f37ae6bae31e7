"""Tests of the check of all settings at once."""

from __future__ import annotations

import unittest

from loomyard.errors import ResultCode
from loomyard_router.settings import parse_settings

GOOD = ["--name", "r", "--log-service", "127.0.0.1:7000"]


class SettingsTest(unittest.TestCase):
    def test_all_faults_come_at_once_by_number_from_flags_and_environment(self) -> None:
        arguments = [*GOOD, "--routers", "many", "--drain-seconds", "soon"]
        environment = {"LOOMYARD_POLICY": "lottery", "LOOMYARD_LOG_FORMAT": "xml"}
        faults = parse_settings(arguments, environment).unwrap_err()
        fields = {fault.field for fault in faults}
        self.assertEqual(fields, {"policy", "log_format", "routers", "drain_seconds"})
        self.assertEqual({fault.code for fault in faults}, {ResultCode.INVALID_SETTING})

    def test_position_lies_within_the_routers(self) -> None:
        (fault,) = parse_settings([*GOOD, "--routers", "2", "--position", "2"], {}).unwrap_err()
        self.assertEqual(fault.field, "position")

    def test_good_settings(self) -> None:
        settings = parse_settings([*GOOD, "--policy", "local", "--routers", "2"], {}).unwrap()
        self.assertEqual((settings.policy, settings.routers), ("local", 2))


if __name__ == "__main__":
    unittest.main()
