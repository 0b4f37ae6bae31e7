"""Tests of targets that turn requests away at once and say nothing else.

Seen: engines that turned away all they got were sent up to 49 requests a second, two to three times
what each engine got that worked; 0.3 of the requests were refused after attempts there.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

from loomyard_router.admission import ejection_tracker
from loomyard_router.routes.kind import RouteKind
from loomyard_router.routes.service_terms import EngineTerms, ServiceTerms
from test_loomyard_router.test_routed.routed_case import RoutedCase, route
from test_loomyard_router.test_routed.scripted_target import (
    Received,
    Script,
    answer,
    plain_script,
    refusal,
)

if TYPE_CHECKING:
    import socket

CALLS = 40
# Longer than any machine takes for the calls, so that no verdict hangs on how busy it is.
REST_SECONDS = 600.0
ENGINE = EngineTerms(slots=4)


def fail(request: Received, sock: socket.socket) -> None:
    """Fail a request."""
    sock.sendall(answer(request, status="500 Internal Server Error"))


def turn_away(request: Received, sock: socket.socket) -> None:
    """Turn a request away."""
    sock.sendall(refusal(request))


class RefusingTargetTest(RoutedCase):
    def setUp(self) -> None:
        super().setUp()
        for name in ("FIRST_EJECTION_SECONDS", "MAX_EJECTION_SECONDS"):
            patch = mock.patch.object(ejection_tracker, name, REST_SECONDS)
            patch.start()
            self.addCleanup(patch.stop)

    def test_a_target_that_turns_all_away_is_left_alone_like_one_that_fails_all(self) -> None:
        scripts: dict[str, Script] = {"failing": fail, "refusing": turn_away}
        for kind, terms in (("plain", None), ("engine", ENGINE)):
            services = [ServiceTerms(name=f"{kind}-{name}", engine=terms) for name in scripts]
            kinds = {"kind": RouteKind.IDEMPOTENT}
            routes = [route(f"/{service.name}/", service.name, **kinds) for service in services]
            self.publish(*routes, services=services, version=self.router.holder.version + 2)
            failing, refusing = (
                self.count_calls(f"{kind}-{name}", script) for name, script in scripts.items()
            )
            with self.subTest(kind=kind):
                self.assertLessEqual(refusing, failing)

    def test_what_is_turned_away_is_given_to_nobody(self) -> None:
        self.target("t1", turn_away, "engine")
        self.publish(route("/engine/", "engine"))
        admission = self.router._admission
        for number in range(CALLS):
            self.call("/engine/x", Loomyard_Attempt_Id=f"{number}")
        self.assertLess(admission.ledger.usage("north"), 1.0)

    def count_calls(self, service: str, script: Script) -> int:
        """Return how many of some requests reach a target beside one that works."""
        target = self.target(f"{service}-1", script, service)
        self.target(f"{service}-2", plain_script, service)
        for number in range(CALLS):
            self.call(f"/{service}/x", Loomyard_Attempt_Id=f"{service}-{number}")
        return len(target.received)


if __name__ == "__main__":
    unittest.main()
