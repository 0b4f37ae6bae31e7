"""Tests of the settings for connections between routers."""

from __future__ import annotations

import unittest

from loomyard_router.settings import make_parser, parse_settings

BASE = ["--name", "r0", "--log-service", "127.0.0.1:1"]
SECRET = {"LOOMYARD_FLEET_SECRET": "tell-nobody"}


class PeerSettingsTest(unittest.TestCase):
    def faults(self, *flags: str) -> list[str]:
        return [fault.field for fault in parse_settings([*BASE, *flags], {}).unwrap_err()]

    def test_peers_are_a_list_and_the_secret_comes_from_the_environment(self) -> None:
        flags = [*BASE, "--peer-listen", "127.0.0.1:0", "--peers", "10.0.0.1:7, 10.0.0.2:7"]
        settings = parse_settings(flags, SECRET).unwrap()
        self.assertEqual(settings.peers, ("10.0.0.1:7", "10.0.0.2:7"))
        self.assertEqual(settings.fleet_secret, ("tell-nobody",))

    def test_the_secret_is_not_in_repr_or_help(self) -> None:
        settings = parse_settings(BASE, SECRET).unwrap()
        self.assertNotIn("tell-nobody", repr(settings))
        self.assertNotIn("tell-nobody", make_parser(SECRET).format_help())

    def test_all_faults_are_reported_at_once(self) -> None:
        flags = ("--peer-listen", "nowhere", "--peers", "a", "--vm-list", "b", "--peer-key", "c")
        wanted = ["peers", "peer_listen", "vm_list", "fleet_secret", "peer_certificate", "peer_key"]
        self.assertEqual(self.faults(*flags), wanted)
        self.assertEqual(self.faults("--fleet-secret", "a,b,c"), ["fleet_secret"])
        self.assertEqual(self.faults("--name", "n" * 64), ["name"])


if __name__ == "__main__":
    unittest.main()
