"""Tests of refusing requests by their first bytes."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest.mock import patch

from loomyard.events import Event
from loomyard_router.admission.account_backlog import AccountBacklog
from loomyard_router.admission.backlog_limit import (
    LAG_THRESHOLD_SECONDS,
    MAX_WAITING,
    MAX_WAITING_LAGGING,
    LagAwareLimit,
)
from loomyard_router.routed import early_refusal
from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import plain_script

if TYPE_CHECKING:
    import http.client

PROMPT = {"Loomyard_Prompt_Prefix": "ab:10,cd:20"}


class Shares:
    """Shares of accounts as a test sets them."""

    def __init__(self) -> None:
        self.over: set[str] = set()
        self.ahead: set[str] = set()

    def is_far_over_share(self, account: str) -> bool:
        return account in self.over

    def exceeds_usage_cap(self, account: str) -> bool:
        return account in self.ahead


class TestWaitingAccounts(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = Shares()
        self.waiting = AccountBacklog(self.shares)  # type: ignore[arg-type]

    def test_an_account_far_beyond_its_share_is_full_sooner(self) -> None:
        for _ in range(MAX_WAITING_LAGGING):
            self.assertFalse(self.waiting.any_near_limit)
            self.waiting.add_waiting("north")
        self.assertTrue(self.waiting.any_near_limit)
        self.assertFalse(self.waiting.is_full("north"))
        self.shares.over.add("north")
        self.assertTrue(self.waiting.is_full("north"))
        self.assertFalse(self.waiting.is_full("south"))
        self.waiting.remove_waiting("north")
        self.assertFalse(self.waiting.is_full("north"))
        self.assertFalse(self.waiting.any_near_limit)

    def test_while_the_router_has_time_one_far_beyond_its_share_asks_as_often_as_others(
        self,
    ) -> None:
        lag = [0.0]
        waiting = AccountBacklog(self.shares, LagAwareLimit(lambda: lag[0]))  # type: ignore[arg-type]
        self.shares.over.add("north")
        for _ in range(MAX_WAITING):
            self.assertFalse(waiting.is_full("north"))
            waiting.add_waiting("north")
        self.assertTrue(waiting.is_full("north"))
        waiting.remove_waiting("north")
        lag[0] = 2 * LAG_THRESHOLD_SECONDS
        self.assertTrue(waiting.is_full("north"))

    def test_an_account_that_outran_one_that_waits_is_full_at_once(self) -> None:
        self.shares.ahead.add("north")
        self.assertTrue(self.waiting.is_full("north"))
        self.assertFalse(self.waiting.is_full("south"))

    def test_otherwise_more_may_wait_but_not_all(self) -> None:
        for _ in range(MAX_WAITING):
            self.assertFalse(self.waiting.is_full("north"))
            self.waiting.add_waiting("north")
        self.assertTrue(self.waiting.is_full("north"))


class TestEarlyRefusal(RoutedCase):
    def setUp(self) -> None:
        super().setUp()
        self.target_ = self.target("t1", plain_script)
        self.publish(route())
        self.waiting = self.router._admission.backlog
        self.early = self.router._listener.early_refusal

    def overload(self) -> None:
        self.early._overloaded = lambda: True
        self.router.app._overloaded = lambda: True

    def fill(self, account: str) -> None:
        for _ in range(MAX_WAITING):
            self.waiting.add_waiting(account)

    def assert_refused(self, response: http.client.HTTPResponse) -> None:
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertEqual("close", response.headers["Connection"])

    def test_a_router_that_is_behind_refuses_without_reading(self) -> None:
        self.overload()
        self.router.app._read_request = self.fail
        self.assert_refused(self.call())
        self.assert_refused(self.call(method="GET", body=b""))
        self.assertEqual([], self.target_.received)

    def test_the_answer_survives_a_long_body(self) -> None:
        self.overload()
        for _ in range(20):
            self.assert_refused(self.call(body=b"x" * 300_000))

    def test_an_account_of_which_many_wait_for_engines_is_refused(self) -> None:
        self.fill("north")
        self.router.app._read_request = self.fail
        self.assert_refused(self.call(**PROMPT))

    def test_its_plain_requests_and_those_of_others_are_served(self) -> None:
        self.fill("somebody")
        self.assertEqual(200, self.call(**PROMPT).status)
        self.fill("north")
        self.assertEqual(200, self.call().status)

    def test_what_is_not_whole_or_has_no_length_is_read(self) -> None:
        self.overload()
        head = request_bytes("/p/x")
        end = head.index(b"\r\n\r\n")
        for first in (b"", head[:20], head[: end + 2], head.replace(b"Content-Length", b"X-Not")):
            self.assertIsNone(self.early.check(first))
        self.assertIsNotNone(self.early.check(head))

    def test_an_unknown_key_is_still_told_so(self) -> None:
        self.fill("north")
        self.assertEqual(401, self.call(Authorization="Bearer nobody", **PROMPT).status)

    def test_one_line_tells_of_many_refusals(self) -> None:
        self.fill("north")
        for number in range(5):
            self.call(Loomyard_Attempt_Id=f"a{number}", **PROMPT)
        with patch.object(early_refusal, "emit") as emit:
            self.early._write_log()
        told = [call.kwargs for call in emit.mock_calls if Event.REFUSED_EARLY in call.args]
        self.assertEqual(1, len(told))
        self.assertEqual((5, {"north": 5}, "a0"), tuple(told[0][n] for n in NAMES))


NAMES = ("requests", "accounts", "first")


if __name__ == "__main__":
    unittest.main()
