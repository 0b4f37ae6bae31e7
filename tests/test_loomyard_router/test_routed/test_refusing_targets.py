"""Tests of targets that refuse requests at once without asking for back-off.

Where refusals do not count as failures, engines that refuse everything get up to 49 requests a
second, two to three times as many as each working engine, and 30 % of the requests are refused
after attempts there.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

from loomyard_router.admission import ejection_tracker
from loomyard_router.routes.kind import RouteKind
from loomyard_router.routes.service_config import EngineConfig, ServiceConfig
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
# Longer than the calls can take, so that no result depends on the load of the VM.
EJECTION_SECONDS = 600.0
ENGINE = EngineConfig(slots=4)


def fail(request: Received, sock: socket.socket) -> None:
    """Answer with status 500."""
    sock.sendall(answer(request, status="500 Internal Server Error"))


def refuse(request: Received, sock: socket.socket) -> None:
    """Answer with status 503, stating that the request did not run."""
    sock.sendall(refusal(request))


class RefusingTargetTest(RoutedCase):
    def setUp(self) -> None:
        super().setUp()
        for name in ("FIRST_EJECTION_SECONDS", "MAX_EJECTION_SECONDS"):
            patch = mock.patch.object(ejection_tracker, name, EJECTION_SECONDS)
            patch.start()
            self.addCleanup(patch.stop)

    def test_a_target_that_refuses_everything_is_ejected_like_one_that_fails_everything(
        self,
    ) -> None:
        scripts: dict[str, Script] = {"failing": fail, "refusing": refuse}
        for kind, terms in (("plain", None), ("engine", ENGINE)):
            services = [ServiceConfig(name=f"{kind}-{name}", engine=terms) for name in scripts]
            kinds = {"kind": RouteKind.IDEMPOTENT}
            routes = [route(f"/{service.name}/", service.name, **kinds) for service in services]
            self.publish(*routes, services=services, version=self.router.holder.version + 2)
            failing, refusing = (
                self.count_calls(f"{kind}-{name}", script) for name, script in scripts.items()
            )
            with self.subTest(kind=kind):
                self.assertLessEqual(refusing, failing)

    def test_refused_requests_do_not_count_as_usage_of_the_account(self) -> None:
        self.target("t1", refuse, "engine")
        self.publish(route("/engine/", "engine"))
        admission = self.router._admission
        for number in range(CALLS):
            self.call("/engine/x", Loomyard_Attempt_Id=f"{number}")
        self.assertLess(admission.ledger.usage("north"), 1.0)

    def count_calls(self, service: str, script: Script) -> int:
        """Return how many of ``CALLS`` requests reach a target beside one that works."""
        target = self.target(f"{service}-1", script, service)
        self.target(f"{service}-2", plain_script, service)
        for number in range(CALLS):
            self.call(f"/{service}/x", Loomyard_Attempt_Id=f"{service}-{number}")
        return len(target.received)


if __name__ == "__main__":
    unittest.main()
