"""Tests that lines and metrics tell which request ended which target."""

from __future__ import annotations

import logging
import unittest
from typing import TYPE_CHECKING

from loomyard.events import Event, event_of
from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_crashing.routers_case import ENDING, RoutersCase
from test_loomyard_router.test_routed.routed_case import route

if TYPE_CHECKING:
    from unittest import _LoggingWatcher

COMINGS = 5


class CrashSightTest(RoutersCase):
    def fields(self, seen: _LoggingWatcher, event: Event) -> list[dict]:
        return [vars(record)["fields"] for record in seen.records if event_of(record) is event]

    def test_each_end_and_the_verdict_are_told(self) -> None:
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.CRITICAL)
        self.serve(route(kind=RouteKind.IDEMPOTENT))
        with self.assertLogs(level=logging.WARNING) as seen:
            for _ in range(COMINGS):
                self.ask(self.router, ENDING)
                self.replace_ended()
        ends = self.fields(seen, Event.TARGET_ENDED)
        self.assertEqual([1, 2, 3], [end["level"] for end in ends])
        self.assertEqual([True] * 3, [end["blamed"] for end in ends])
        (fingerprint,) = {end["fingerprint"] for end in ends}
        failed = self.fields(seen, Event.ATTEMPT_FAILED)
        self.assertIn(fingerprint, {one["fingerprint"] for one in failed})
        told = self.fields(seen, Event.REQUEST_BLOCKED)
        self.assertEqual({fingerprint}, {one["fingerprint"] for one in told})
        self.assertEqual({end["target"] for end in ends}, set(told[0]["targets"]))


if __name__ == "__main__":
    unittest.main()
