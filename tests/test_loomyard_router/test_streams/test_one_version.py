"""Tests that a stream stays with the service and the software version that began it."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from loomyard_router.routes.weighted_service import WeightedService
from test_loomyard_router.test_routed.scripted_target import Received, chunk, stream_head
from test_loomyard_router.test_streams.streams_case import EVENTS, NEW, OLD, StreamsCase

if TYPE_CHECKING:
    import socket

STREAMS = 24


class OneVersionTest(StreamsCase):
    # Guards against a router that resumes a broken stream at a target of another version.
    def test_a_router_resumes_a_broken_stream_at_the_version_that_began_it(self) -> None:
        self.add_two_of_each()
        self.publish_streams()
        for number in range(STREAMS):
            seen = self.stream(self.routers[number % 3], events=EVENTS + 1)
            self.assertEqual((EVENTS, True), (len(seen.targets), seen.whole))
            self.assertEqual(1, len(self.versions(seen)))

    # Guards against a router that does not know what began a stream at another router.
    def test_a_caller_takes_a_stream_up_at_the_version_that_began_it(self) -> None:
        self.add_two_of_each()
        self.publish_streams()
        for number in range(STREAMS):
            first = self.stream(self.routers[number % 3], events=1)
            rest = self.take_up(self.routers[(number + 1) % 3], first)
            self.assertEqual(EVENTS, len(first.targets | rest.targets))
            self.assertEqual(1, len(self.versions(first, rest)))

    # Guards against a choice of the service by the id of the attempt that takes a stream up.
    def test_a_stream_that_is_taken_up_stays_with_its_service(self) -> None:
        for service in ("engine", "other"):
            self.add(service, "v1")
            self.add(service, "v1")
        halves = tuple(WeightedService(service=one, weight=1.0) for one in ("engine", "other"))
        self.publish_streams(weighted_services=halves)
        for number in range(STREAMS):
            first = self.stream(self.routers[number % 3], events=1)
            rest = self.take_up(self.routers[(number + 1) % 3], first)
            self.assertEqual(EVENTS, len(first.targets | rest.targets))
            self.assertEqual(1, len(self.versions(first, rest)))

    def test_a_stream_whose_service_has_left_the_route_is_refused_and_not_run(self) -> None:
        self.add("engine", OLD)
        other = self.add("other", OLD)
        self.publish_streams()
        first = self.stream(self.routers[0], events=1)
        self.publish_streams(version=2, service="other")
        self.assertEqual(503, self.take_up(self.routers[1], first).status)
        self.assertEqual([], other.received)

    def test_a_broken_stream_without_another_target_of_its_version_ends(self) -> None:
        self.add("engine", OLD)
        self.add("engine", NEW)
        self.publish_streams()
        for number in range(STREAMS // 4):
            seen = self.stream(self.routers[number % 3], events=EVENTS + 1)
            self.assertEqual((1, False), (len(seen.targets), seen.whole))

    def test_before_its_first_event_a_stream_may_go_to_another_version(self) -> None:
        def break_off(request: Received, sock: socket.socket) -> bool:
            sock.sendall(stream_head(request) + chunk(b"id: 0\nda"))
            return True

        self.add("engine", OLD).script = break_off
        target = self.add("engine", NEW)
        target.breaks_off = False
        self.publish_streams()
        for number in range(STREAMS // 4):
            seen = self.stream(self.routers[number % 3], events=EVENTS + 1)
            self.assertEqual((EVENTS, True), (len(seen.targets), seen.whole))

    def test_a_stream_of_which_nothing_is_known_is_refused_at_once_and_not_run(self) -> None:
        self.add_two_of_each()
        self.publish_streams()
        for headers in ({"Resumes": "attempt-x", "Last_Event_Id": "0"}, {"Last_Event_Id": "0"}):
            response = self.call(**headers)
            self.assertEqual((503, b""), (response.status, response.data))
        self.assertEqual([], [one for t in self.streaming.values() for one in t.received])

    def test_a_stream_whose_version_has_no_target_left_is_refused_and_not_run(self) -> None:
        old = self.add("engine", OLD)
        self.publish_streams()
        first = self.stream(self.routers[0], events=1)
        new = self.add("engine", NEW)
        self.targets.put(old.id, None)
        self.until(lambda: all(not r.registry.is_usable(old.announced()) for r in self.routers))
        self.until(lambda: all(r.registry.usable("engine") for r in self.routers))
        sent = len(new.received)
        self.assertEqual(503, self.take_up(self.routers[1], first).status)
        self.assertEqual(sent, len(new.received))

    def test_a_target_that_announces_another_version_under_its_id_is_not_used(self) -> None:
        targets = [self.add("engine", OLD), self.add("engine", OLD)]
        self.publish_streams()
        chosen = targets[0].announced()
        self.assertTrue(self.router.registry.is_usable(chosen))
        targets[0].software_version = NEW
        self.announce(targets[0].announced())
        self.assertFalse(self.router.registry.is_usable(chosen))
        self.assertTrue(self.router.registry.is_usable(targets[0].announced()))


if __name__ == "__main__":
    unittest.main()
