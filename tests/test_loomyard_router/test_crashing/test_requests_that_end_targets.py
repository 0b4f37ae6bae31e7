"""What becomes of a request that ends each target that begins to run it, and of those beside it.

Seen: a request under which three targets had ended was sent to targets four times more; eleven
ended in all, and meanwhile half of the requests of all accounts found no target.
How it came about: its caller came back under a new id, to any router, and each router sent it to
one target after the other.
Cause: nothing was kept of what a broken attempt had asked, so the ends under a request were never
added up: not over its comings, and not over routers.
Proved by the word of the targets (each ended 65 to 72 ms after it began to run one certain request)
and by these tests, in which nine comings end nine targets and more on the code before the repair.
"""

from __future__ import annotations

import unittest
from unittest import mock

import gevent

from loomyard_router.crashes import liveness_probe
from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_crashing.routers_case import ENDING, TOLD_SECONDS, RoutersCase
from test_loomyard_router.test_routed.routed_case import WAIT, route

# So many targets may end before a request is known for it, and so often it may be sent later on.
KNOWN_AFTER = 3
MORE = 3
COMINGS = 9
UNAVAILABLE = 503
OK = 200


class EndingRequestTest(RoutersCase):
    def setUp(self) -> None:
        # No verdict may hang on how busy the machine is.
        patch = mock.patch.object(liveness_probe, "ANSWER_SECONDS", WAIT)
        patch.start()
        self.addCleanup(patch.stop)
        super().setUp()

    def come_until_known(self, body: bytes = ENDING, **headers: str) -> None:
        """Come at one router after the other until enough targets ended, and news had its time."""
        for coming in range(COMINGS):
            self.ask(self.routers[coming % len(self.routers)], body, **headers)
            self.replace_ended()
            if self.ended >= KNOWN_AFTER:
                break
        self.assertGreaterEqual(self.ended, KNOWN_AFTER)
        gevent.sleep(TOLD_SECONDS)

    def sent_later(self, body: bytes = ENDING, **headers: str) -> int:
        """Come again and again at all routers; return how often it reached a target."""
        before = self.sent(body)
        for coming in range(COMINGS):
            status, _ = self.ask(self.routers[coming % len(self.routers)], body, **headers)
            self.assertNotEqual(OK, status)
            self.replace_ended()
        return self.sent(body) - before

    def test_a_request_that_may_be_repeated_is_sent_no_more(self) -> None:
        self.serve(route(kind=RouteKind.IDEMPOTENT))
        self.come_until_known()
        self.assertLessEqual(self.sent_later(), MORE)

    def test_a_request_that_may_run_once_is_sent_no_more(self) -> None:
        self.serve(route())
        self.come_until_known()
        self.assertLessEqual(self.sent_later(), MORE)

    def test_a_stream_that_goes_on_elsewhere_is_sent_no_more(self) -> None:
        self.serve(route(kind=RouteKind.STREAM, resumable=True, max_attempts=3), streams=True)
        self.come_until_known()
        self.assertLessEqual(self.sent_later(Last_Event_Id="1"), MORE)

    def test_a_request_to_engines_is_sent_no_more(self) -> None:
        served = route(service="engine", kind=RouteKind.STREAM, resumable=True, max_attempts=3)
        self.serve(served, service="engine", streams=True)
        self.come_until_known(Loomyard_Prompt_Prefix="aa:100,bb:10")
        self.assertLessEqual(self.sent_later(Loomyard_Prompt_Prefix="aa:100,bb:10"), MORE)

    def test_a_router_that_starts_later_sends_it_no_more(self) -> None:
        self.serve(route(kind=RouteKind.IDEMPOTENT))
        self.come_until_known()
        late = self.start_router("router-late")
        self.until(lambda: late.ready)
        gevent.sleep(TOLD_SECONDS)
        self.routers = [late]
        self.assertLessEqual(self.sent_later(), MORE)

    def test_behind_what_goes_on_accepting_connections_it_is_sent_no_more(self) -> None:
        self.serve(route(kind=RouteKind.IDEMPOTENT, max_attempts=2), fronted=True)
        self.come_until_known()
        self.assertLessEqual(self.ended, KNOWN_AFTER + MORE)
        self.assertLessEqual(self.sent_later(), MORE)

    def test_what_is_refused_was_not_sent_and_says_when_to_come_back(self) -> None:
        self.serve(route(kind=RouteKind.IDEMPOTENT))
        self.come_until_known()
        self.sent_later()
        before = self.sent(ENDING)
        status, headers = self.ask(self.router, ENDING)
        self.assertEqual((UNAVAILABLE, before), (status, self.sent(ENDING)))
        assert headers is not None
        self.assertGreater(float(headers["Retry-After"]), 0.0)

    def test_other_requests_of_its_route_stay_served(self) -> None:
        self.serve(route(kind=RouteKind.IDEMPOTENT))
        self.come_until_known()
        self.sent_later()
        self.forget_ended()
        for router in self.routers:
            self.assertEqual(OK, self.ask(router, b"another")[0])

    def test_what_ran_beside_it_and_comes_again_word_for_word_stays_served(self) -> None:
        self.serve(route(kind=RouteKind.IDEMPOTENT, max_attempts=3))
        beside = [f"beside {number}".encode() for number in range(8)]
        for coming in range(COMINGS):
            router = self.routers[coming % len(self.routers)]
            callers = [gevent.spawn(self.ask, router, body) for body in beside]
            gevent.sleep(0)
            self.ask(router, ENDING)
            gevent.joinall(callers)
            self.replace_ended()
        self.forget_ended()
        for router in self.routers:
            for body in beside:
                with self.subTest(router=router.members.own.name, body=body):
                    self.assertEqual(OK, self.ask(router, body)[0])


if __name__ == "__main__":
    unittest.main()
