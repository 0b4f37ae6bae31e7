"""Tests of the refusal of requests by their first bytes."""

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
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import plain_script

if TYPE_CHECKING:
    import http.client

PROMPT = {"Loomyard_Prompt_Prefix": "ab:10,cd:20"}


class FakeLedger:
    """Share ledger whose answers the test sets."""

    def __init__(self) -> None:
        self.over_share: set[str] = set()
        self.over_cap: set[str] = set()
        self.unread_demand: list[tuple[str, bool]] = []

    def is_far_over_share(self, account: str) -> bool:
        return account in self.over_share

    def exceeds_usage_cap(self, account: str) -> bool:
        return account in self.over_cap

    def record_unread_demand(self, account: str, *, lacks_room: bool) -> None:
        self.unread_demand.append((account, lacks_room))


class TestAccountBacklog(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = FakeLedger()
        self.backlog = AccountBacklog(self.ledger)  # type: ignore[arg-type]

    def test_an_account_far_over_its_share_reaches_its_limit_sooner(self) -> None:
        for _ in range(MAX_WAITING_LAGGING):
            self.assertFalse(self.backlog.any_near_limit)
            self.backlog.add_waiting("north")
        self.assertTrue(self.backlog.any_near_limit)
        self.assertFalse(self.backlog.is_full("north"))
        self.ledger.over_share.add("north")
        self.assertTrue(self.backlog.is_full("north"))
        self.assertFalse(self.backlog.is_full("south"))
        self.backlog.remove_waiting("north")
        self.assertFalse(self.backlog.is_full("north"))
        self.assertFalse(self.backlog.any_near_limit)

    def test_the_lower_limit_applies_only_while_the_router_lags(self) -> None:
        lag = [0.0]
        backlog = AccountBacklog(self.ledger, LagAwareLimit(lambda: lag[0]))  # type: ignore[arg-type]
        self.ledger.over_share.add("north")
        for _ in range(MAX_WAITING):
            self.assertFalse(backlog.is_full("north"))
            backlog.add_waiting("north")
        self.assertTrue(backlog.is_full("north"))
        backlog.remove_waiting("north")
        lag[0] = 2 * LAG_THRESHOLD_SECONDS
        self.assertTrue(backlog.is_full("north"))

    def test_an_account_that_uses_one_router_may_wait_there_while_it_does_not_lag(self) -> None:
        # 48 were let wait: engines with 140 times 12 slots had room, and the account got 1.6 of
        # 3.7 million tokens beside 5.6 of an account whose callers use 63 routers.
        lag = [0.0]
        backlog = AccountBacklog(self.ledger, LagAwareLimit(lambda: lag[0]))  # type: ignore[arg-type]
        for _ in range(3 * 48):
            backlog.add_waiting("north")
        self.assertFalse(backlog.is_full("north"))
        lag[0] = 2 * LAG_THRESHOLD_SECONDS
        self.assertTrue(backlog.is_full("north"))

    def test_unread_demand_lacks_room_at_engines_unless_the_router_or_a_cap_refuses_it(
        self,
    ) -> None:
        lag = [0.0]
        backlog = AccountBacklog(self.ledger, LagAwareLimit(lambda: lag[0]))  # type: ignore[arg-type]
        backlog.record_refused("north")
        lag[0] = 2 * LAG_THRESHOLD_SECONDS
        backlog.record_refused("north")
        lag[0] = 0.0
        self.ledger.over_cap.add("north")
        backlog.record_refused("north")
        self.assertEqual(
            [("north", True), ("north", False), ("north", False)], self.ledger.unread_demand
        )

    def test_an_account_over_the_usage_cap_is_at_its_limit_at_once(self) -> None:
        self.ledger.over_cap.add("north")
        self.assertTrue(self.backlog.is_full("north"))
        self.assertFalse(self.backlog.is_full("south"))

    def test_the_backlog_of_any_account_is_limited(self) -> None:
        for _ in range(MAX_WAITING):
            self.assertFalse(self.backlog.is_full("north"))
            self.backlog.add_waiting("north")
        self.assertTrue(self.backlog.is_full("north"))


class TestEarlyRefusal(RoutedCase):
    def setUp(self) -> None:
        super().setUp()
        self.target_ = self.target("t1", plain_script)
        self.publish(route())
        self.backlog = self.router._admission.backlog
        self.early = self.router._listener.early_refusal

    def overload(self) -> None:
        self.early._overloaded = lambda: True
        self.router.app._overloaded = lambda: True

    def fill(self, account: str) -> None:
        for _ in range(MAX_WAITING):
            self.backlog.add_waiting(account)

    def assert_refused(self, response: http.client.HTTPResponse) -> None:
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertEqual("close", response.headers["Connection"])

    def test_an_overloaded_router_refuses_without_decoding(self) -> None:
        self.overload()
        self.router.app._read_request = self.fail
        self.assert_refused(self.call())
        self.assert_refused(self.call(method="GET", body=b""))
        self.assertEqual([], self.target_.received)

    def test_the_refusal_arrives_despite_a_long_unread_body(self) -> None:
        self.overload()
        for _ in range(20):
            self.assert_refused(self.call(body=b"x" * 300_000))

    def test_an_account_with_a_full_backlog_is_refused(self) -> None:
        self.fill("north")
        self.router.app._read_request = self.fail
        self.assert_refused(self.call(**PROMPT))

    def test_the_demand_of_requests_refused_unread_counts(self) -> None:
        ledger = self.router._admission.ledger
        ledger._demand.clock = FakeClock()
        ledger.record_demand("north", 1000.0)
        self.fill("north")
        self.assert_refused(self.call(**PROMPT))
        self.assertEqual(2000.0, ledger._demand.tokens("north"))

    def test_the_demand_that_an_overloaded_router_refuses_counts(self) -> None:
        # Guards against an account whose demand seems met, so that no other one is capped for it.
        ledger = self.router._admission.ledger
        ledger._demand.clock = ledger._unmet.clock = FakeClock()
        ledger.record_demand("north", 1000.0)
        ledger.record_usage("north", 1000.0)
        self.overload()
        self.backlog._limit = LagAwareLimit(lambda: 2 * LAG_THRESHOLD_SECONDS)
        self.assert_refused(self.call(**PROMPT))
        self.assertEqual(2000.0, ledger._demand.tokens("north"))
        self.assertEqual(0.0, ledger._unmet.tokens("north"))

    def test_requests_without_prompt_and_of_other_accounts_are_served(self) -> None:
        self.fill("somebody")
        self.assertEqual(200, self.call(**PROMPT).status)
        self.fill("north")
        self.assertEqual(200, self.call().status)

    def test_an_incomplete_head_or_one_without_length_is_not_refused_early(self) -> None:
        self.overload()
        head = request_bytes("/p/x")
        end = head.index(b"\r\n\r\n")
        for first in (b"", head[:20], head[: end + 2], head.replace(b"Content-Length", b"X-Not")):
            self.assertIsNone(self.early.check(first, 0.0))
        self.assertIsNotNone(self.early.check(head, 0.0))

    def test_an_unknown_key_still_gets_401(self) -> None:
        self.fill("north")
        self.assertEqual(401, self.call(Authorization="Bearer nobody", **PROMPT).status)

    def test_one_log_line_sums_up_many_refusals(self) -> None:
        self.fill("north")
        for number in range(5):
            self.call(Loomyard_Attempt_Id=f"a{number}", **PROMPT)
        with patch.object(early_refusal, "emit") as emit:
            self.early._write_log()
        lines = [call.kwargs for call in emit.mock_calls if Event.REFUSED_EARLY in call.args]
        self.assertEqual(1, len(lines))
        self.assertEqual((5, {"north": 5}, "a0"), tuple(lines[0][n] for n in NAMES))

    def test_the_log_line_counts_the_refusals_by_their_reasons(self) -> None:
        self.fill("north")
        self.call(**PROMPT)
        self.backlog.is_capped = lambda account: True
        self.call(**PROMPT)
        self.call(**PROMPT)
        self.overload()
        self.call(**PROMPT)
        with patch.object(early_refusal, "emit") as emit:
            self.early._write_log()
        line = next(call.kwargs for call in emit.mock_calls if Event.REFUSED_EARLY in call.args)
        self.assertEqual((1, 2, 1), (line["behind"], line["capped"], line["full"]))


NAMES = ("requests", "accounts", "first")


if __name__ == "__main__":
    unittest.main()
