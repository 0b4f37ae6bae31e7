"""Tests that a poison request is blocked in the whole fleet, and that no other request is.

A caller that repeats a poison request under new ids at any router crashes one target after the
other unless crashes are added up by request content, over its repeats and over all routers. Eleven
targets crashed in such a case, and half of the requests of all accounts found no target meanwhile.
Targets crash 65 to 72 ms after they begin to run such a request.
"""

from __future__ import annotations

import unittest
from unittest import mock

import gevent

from loomyard_router.crashes import liveness_probe
from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_crashing.routers_case import (
    POISON_BODY,
    PROPAGATION_SECONDS,
    RoutersCase,
)
from test_loomyard_router.test_routed.routed_case import WAIT, route

# Users accept this many crashes before a request is blocked, and this many sends afterwards.
BLOCKED_AFTER = 3
MAX_SENDS_AFTER = 3
ATTEMPTS = 9
UNAVAILABLE = 503
OK = 200


class PoisonRequestTest(RoutersCase):
    def setUp(self) -> None:
        # Results must not depend on the load of the host.
        patch = mock.patch.object(liveness_probe, "ANSWER_SECONDS", WAIT)
        patch.start()
        self.addCleanup(patch.stop)
        super().setUp()

    def send_until_blocked(self, body: bytes = POISON_BODY, **headers: str) -> None:
        """Send to one router after the other until enough targets crashed and all routers know."""
        for attempt in range(ATTEMPTS):
            self.ask(self.routers[attempt % len(self.routers)], body, **headers)
            self.replace_crashed()
            if self.crashed >= BLOCKED_AFTER:
                break
        self.assertGreaterEqual(self.crashed, BLOCKED_AFTER)
        gevent.sleep(PROPAGATION_SECONDS)

    def sends_after_block(self, body: bytes = POISON_BODY, **headers: str) -> int:
        """Send repeatedly to all routers; return how often the request reached a target."""
        before = self.times_sent(body)
        for attempt in range(ATTEMPTS):
            status, _ = self.ask(self.routers[attempt % len(self.routers)], body, **headers)
            self.assertNotEqual(OK, status)
            self.replace_crashed()
        return self.times_sent(body) - before

    def test_an_idempotent_poison_request_is_blocked(self) -> None:
        self.serve(route(kind=RouteKind.IDEMPOTENT))
        self.send_until_blocked()
        self.assertLessEqual(self.sends_after_block(), MAX_SENDS_AFTER)

    def test_a_non_idempotent_poison_request_is_blocked(self) -> None:
        self.serve(route())
        self.send_until_blocked()
        self.assertLessEqual(self.sends_after_block(), MAX_SENDS_AFTER)

    def test_a_resumable_poison_stream_is_blocked(self) -> None:
        self.serve(route(kind=RouteKind.STREAM, resumable=True, max_attempts=3), streams=True)
        self.send_until_blocked()
        self.assertLessEqual(self.sends_after_block(Last_Event_Id="1"), MAX_SENDS_AFTER)

    def test_a_poison_request_to_engines_is_blocked(self) -> None:
        served = route(service="engine", kind=RouteKind.STREAM, resumable=True, max_attempts=3)
        self.serve(served, service="engine", streams=True)
        self.send_until_blocked(Loomyard_Prompt_Prefix="aa:100,bb:10")
        self.assertLessEqual(
            self.sends_after_block(Loomyard_Prompt_Prefix="aa:100,bb:10"), MAX_SENDS_AFTER
        )

    def test_a_router_that_starts_later_blocks_it_too(self) -> None:
        self.serve(route(kind=RouteKind.IDEMPOTENT))
        self.send_until_blocked()
        late = self.start_router("router-late")
        self.until(lambda: late.ready)
        gevent.sleep(PROPAGATION_SECONDS)
        self.routers = [late]
        self.assertLessEqual(self.sends_after_block(), MAX_SENDS_AFTER)

    def test_it_is_blocked_although_a_proxy_still_accepts_connections(self) -> None:
        self.serve(route(kind=RouteKind.IDEMPOTENT, max_attempts=2), behind_proxy=True)
        self.send_until_blocked()
        self.assertLessEqual(self.crashed, BLOCKED_AFTER + MAX_SENDS_AFTER)
        self.assertLessEqual(self.sends_after_block(), MAX_SENDS_AFTER)

    def test_a_blocked_request_is_not_sent_and_gets_a_retry_time(self) -> None:
        self.serve(route(kind=RouteKind.IDEMPOTENT))
        self.send_until_blocked()
        self.sends_after_block()
        before = self.times_sent(POISON_BODY)
        status, headers = self.ask(self.router, POISON_BODY)
        self.assertEqual((UNAVAILABLE, before), (status, self.times_sent(POISON_BODY)))
        assert headers is not None
        self.assertGreater(float(headers["Retry-After"]), 0.0)

    def test_other_requests_of_its_route_are_served(self) -> None:
        self.serve(route(kind=RouteKind.IDEMPOTENT))
        self.send_until_blocked()
        self.sends_after_block()
        self.wait_until_unused()
        for router in self.routers:
            self.assertEqual(OK, self.ask(router, b"another")[0])

    def test_identical_repeats_of_requests_that_ran_beside_it_are_served(self) -> None:
        self.serve(route(kind=RouteKind.IDEMPOTENT, max_attempts=3))
        beside = [f"beside {number}".encode() for number in range(8)]
        for attempt in range(ATTEMPTS):
            router = self.routers[attempt % len(self.routers)]
            callers = [gevent.spawn(self.ask, router, body) for body in beside]
            gevent.sleep(0)
            self.ask(router, POISON_BODY)
            gevent.joinall(callers)
            self.replace_crashed()
        self.wait_until_unused()
        for router in self.routers:
            for body in beside:
                with self.subTest(router=router.members.own.name, body=body):
                    self.assertEqual(OK, self.ask(router, body)[0])


if __name__ == "__main__":
    unittest.main()
