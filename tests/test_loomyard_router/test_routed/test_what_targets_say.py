"""Tests of what targets say of themselves in their answers.

Seen: while the platform's store was away, a target that had said in each of its answers that it
leaves went on getting 5 to 12 requests a second for 11 s; two engines that had turned requests
away and asked for 3 s of rest got up to 49 a second, more than those that worked.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from test_loomyard_router.test_routed.routed_case import RoutedCase, route
from test_loomyard_router.test_routed.scripted_target import (
    Received,
    Script,
    ScriptedTarget,
    answer,
    plain_script,
)

if TYPE_CHECKING:
    import socket

SERVICES = ("plain", "engine")
ROUTES = tuple(route(f"/{service}/", service) for service in SERVICES)
LEAVING = "Server-Leaving: 1\r\n"
CALLS = 12


def leaving_script(request: Received, sock: socket.socket) -> None:
    """Answer every request, and say that the target leaves."""
    sock.sendall(answer(request, extra=LEAVING))


def turn_away(request: Received, sock: socket.socket) -> None:
    """Turn every request away and ask for a minute of rest."""
    extra = "Loomyard-Not-Executed: 1\r\nRetry-After: 60\r\n"
    sock.sendall(answer(request, b"", status="503 Service Unavailable", extra=extra))


class WhatTargetsSayTest(RoutedCase):
    def test_a_target_that_says_that_it_leaves_gets_nothing_more(self) -> None:
        leaving, staying = self.start_targets(leaving_script), self.start_targets(plain_script)
        self.publish(*ROUTES)
        self.targets.lose()
        for service in SERVICES:
            self.call_often(service)
            with self.subTest(service=service):
                self.assertEqual(1, len(leaving[service].received))
                self.assertEqual(CALLS - 1, len(staying[service].received))

    def test_a_target_that_asks_for_rest_gets_nothing_in_that_time(self) -> None:
        tired, serving = self.start_targets(turn_away), self.start_targets(plain_script)
        self.publish(*ROUTES)
        for service in SERVICES:
            self.call_often(service)
            with self.subTest(service=service):
                self.assertEqual(1, len(tired[service].received))
                self.assertEqual(CALLS, len(serving[service].received))

    def start_targets(self, script: Script) -> dict[str, ScriptedTarget]:
        """Start a target of each service."""
        number = len(self.started)
        started = {
            service: self.target(f"t{number}-{service}", script, service) for service in SERVICES
        }
        self.started += started.values()
        return started

    def call_often(self, service: str) -> None:
        """Send requests one after the other; all have to be served."""
        for number in range(CALLS):
            response = self.call(f"/{service}/x", Loomyard_Attempt_Id=f"{service}-{number}")
            self.assertEqual(200, response.status)


if __name__ == "__main__":
    unittest.main()
