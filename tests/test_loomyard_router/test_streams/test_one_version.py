"""Tests that a stream stays with the service and the software version that began it."""

from __future__ import annotations

import unittest

from loomyard_router.routes.weighted_service import WeightedService
from test_loomyard_router.test_streams.streams_case import EVENTS, StreamsCase

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


if __name__ == "__main__":
    unittest.main()
