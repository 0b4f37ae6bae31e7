"""Tests that log records name the request under which a target crashed."""

from __future__ import annotations

import logging
import unittest
from typing import TYPE_CHECKING

from loomyard.events import Event, event_of
from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_crashing.routers_case import POISON_BODY, RoutersCase
from test_loomyard_router.test_routed.routed_case import route

if TYPE_CHECKING:
    from unittest import _LoggingWatcher

ATTEMPTS = 5


class CrashLoggingTest(RoutersCase):
    def fields(self, seen: _LoggingWatcher, event: Event) -> list[dict]:
        return [vars(record)["fields"] for record in seen.records if event_of(record) is event]

    def test_each_crash_and_the_block_are_logged_once(self) -> None:
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.CRITICAL)
        self.serve(route(kind=RouteKind.IDEMPOTENT))
        with self.assertLogs(level=logging.WARNING) as seen:
            for _ in range(ATTEMPTS):
                self.ask(self.router, POISON_BODY)
                self.replace_crashed()
        crashes = self.fields(seen, Event.TARGET_ENDED)
        self.assertEqual([1, 2, 3], [crash["level"] for crash in crashes])
        self.assertEqual([True] * 3, [crash["blamed"] for crash in crashes])
        (fingerprint,) = {crash["fingerprint"] for crash in crashes}
        failed = self.fields(seen, Event.ATTEMPT_FAILED)
        self.assertIn(fingerprint, {one["fingerprint"] for one in failed})
        blocked = self.fields(seen, Event.REQUEST_BLOCKED)
        self.assertEqual({fingerprint}, {one["fingerprint"] for one in blocked})
        self.assertEqual({crash["target"] for crash in crashes}, set(blocked[0]["targets"]))


if __name__ == "__main__":
    unittest.main()
