"""Tests of the memory budget for request bodies.

Without it, 60 callers of one account that send 4 MiB bodies at once to a router on the smallest VM,
which has 160 MB, make the router grow by 309 MB, so that it is killed.
"""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

import gevent

from loomyard.errors import ResultCode
from loomyard_router.platform.settings_file import BODIES_FRACTION
from loomyard_router.routed.body_budget import (
    ACCOUNT_FRACTION,
    SMALL_BYTES,
    SMALL_FRACTION,
    BodyBudget,
)
from loomyard_router.routes.account_config import AccountConfig
from loomyard_router.routes.caller_limits import CallerLimits
from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import Received, answer

if TYPE_CHECKING:
    import socket

MEGABYTE = 1 << 20
LARGE = 4 * MEGABYTE
SMALLEST_VM = 160 * MEGABYTE
MAX_BYTES = int(BODIES_FRACTION * SMALLEST_VM)


def answer_late(request: Received, sock: socket.socket) -> None:
    gevent.sleep(0.3)
    sock.sendall(answer(request))


class BodyBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = BodyBudget(MAX_BYTES, random.Random(3))

    def hold(self, account: str, size: int) -> bool:
        return self.budget.make_reservation(account).grow_to(size).is_ok()

    def test_large_bodies_leave_a_fraction_to_small_ones(self) -> None:
        held = sum(self.hold(f"a{n}", LARGE) for n in range(60))
        self.assertLessEqual(held * LARGE, MAX_BYTES * (1.0 - SMALL_FRACTION))
        small = sum(self.hold("b", SMALL_BYTES) for _ in range(60))
        self.assertEqual(60, small)

    def test_no_account_uses_all_of_the_budget_for_large_bodies(self) -> None:
        held = sum(self.hold("a", LARGE) for _ in range(60))
        self.assertGreater(held, 0)
        self.assertLessEqual(held * LARGE, ACCOUNT_FRACTION * MAX_BYTES * (1.0 - SMALL_FRACTION))
        self.assertTrue(self.hold("b", LARGE))

    def test_a_single_body_of_an_account_may_exceed_its_fraction(self) -> None:
        budget = BodyBudget(6 * MEGABYTE, random.Random(3))
        self.assertTrue(budget.make_reservation("a").grow_to(LARGE).is_ok())

    def test_a_body_without_a_length_grows_until_the_budget_is_used_up(self) -> None:
        reservation = self.budget.make_reservation("a")
        sizes = iter(range(SMALL_BYTES, 2 * MAX_BYTES, SMALL_BYTES))
        refused = next(size for size in sizes if reservation.grow_to(size).is_err())
        self.assertLessEqual(refused - SMALL_BYTES, MAX_BYTES * (1.0 - SMALL_FRACTION))
        reservation.release()
        reservation.release()
        self.assertEqual(0, self.budget.held_bytes)
        self.assertTrue(self.hold("a", LARGE))

    def test_a_refusal_has_a_retry_after_and_states_the_size(self) -> None:
        while self.hold("a", LARGE):
            pass
        fault = self.budget.make_reservation("a").grow_to(LARGE).unwrap_err()
        self.assertIs(ResultCode.BODIES_HELD, fault.code)
        self.assertGreater(fault.retry_after or 0.0, 0.0)
        self.assertIn(str(LARGE), fault.detail)


class UploadsTest(RoutedCase):
    """The same over sockets, with a router that has this budget."""

    body_bytes = MAX_BYTES

    def setUp(self) -> None:
        super().setUp()
        target = self.target("t-1", answer_late)
        self.announce(target.announced(slots=100))
        accounts = [
            AccountConfig(name="north", keys=("key-n",)),
            AccountConfig(name="south", keys=("key-s",)),
        ]
        limits = CallerLimits(body_bytes=LARGE)
        self.publish(route(objective=10.0), accounts=accounts, limits=limits)

    def upload(self, number: int) -> int:
        return self.call(body=b"x" * LARGE, Loomyard_Attempt_Id=f"large-{number}").status

    def test_uploads_beyond_the_budget_are_refused_and_small_requests_served(self) -> None:
        uploads = [gevent.spawn(self.upload, number) for number in range(20)]
        small = [
            gevent.spawn(self.call, Loomyard_Attempt_Id=f"s-{n}", Authorization="Bearer key-s")
            for n in range(4)
        ]
        gevent.joinall(uploads + small)
        statuses = [one.get() for one in uploads]
        self.assertEqual({200, 503}, set(statuses))
        self.assertEqual([200] * 4, [one.get().status for one in small])
        self.assertLessEqual(self.router.body_budget.peak_bytes, MAX_BYTES)
        self.assertEqual(statuses.count(503), self.router.body_budget.refused)

    def test_the_memory_is_released_after_the_answer(self) -> None:
        self.upload(1)
        self.until(lambda: self.router.body_budget.held_bytes == 0)

    def test_a_disconnect_during_the_upload_releases_the_memory(self) -> None:
        sock = self.connect()
        sock.sendall(request_bytes("/p/x", body=b"x" * LARGE)[:MEGABYTE])
        self.until(lambda: self.router.body_budget.held_bytes == LARGE)
        sock.close()
        self.until(lambda: self.router.body_budget.held_bytes == 0)


if __name__ == "__main__":
    unittest.main()
