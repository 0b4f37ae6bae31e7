"""Tests of how a stream that goes on competes for slots with requests that begin."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from loomyard_router.admission.account_backlog import AccountBacklog
from loomyard_router.admission.slot_terms import make_slot_terms
from loomyard_router.streams.stream_origin import StreamOrigin
from test_loomyard_router.test_admission.slots_case import Fleet

if TYPE_CHECKING:
    from loomyard_router.routed.routed_request import RoutedRequest

ORIGIN = StreamOrigin(service="engine", software_version="")
NONE: frozenset = frozenset()
PROMPT = {"prompt_tokens": 4000, "max_output_tokens": 10}


class ContinuedStreamsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(1)
        self.router = self.fleet.routers[0]

    def going_on(self, number: int, **head: object) -> RoutedRequest:
        request = self.fleet.request(number=number, **{**PROMPT, **head})
        request.origin = ORIGIN
        return request

    def let_read(self) -> None:
        """Let the engine read a prompt whose first token has not come."""
        first = self.fleet.request(number=99, **PROMPT)
        self.assertTrue(self.router.gate.acquire(first, NONE).is_ok())

    # Guards against streams that were lost because their request had come long before.
    def test_a_stream_that_breaks_off_late_gets_a_slot_behind_another_prompt(self) -> None:
        self.let_read()
        request = self.going_on(1)
        self.fleet.clock.advance(3.0)
        self.let_read()
        request.slot_wanted_at = self.fleet.clock.now()
        request.origin = None
        self.assertTrue(self.router.gate.acquire(request, NONE).is_err())
        request.origin = ORIGIN
        self.assertTrue(self.router.gate.acquire(request, NONE).is_ok())

    def test_a_stream_that_goes_on_waits_for_its_slot_longer_than_one_that_begins(self) -> None:
        backlog = AccountBacklog(self.router.ledger)
        begins = make_slot_terms(self.fleet.request(), self.router.ledger, backlog)
        goes_on = make_slot_terms(self.going_on(1), self.router.ledger, backlog)
        self.assertGreater(goes_on.wait_until, begins.wait_until)
        self.assertGreater(goes_on.first_token_by, begins.first_token_by)
        self.assertGreaterEqual(goes_on.fallbacks, begins.fallbacks)

    def test_no_stream_waits_beyond_its_deadline(self) -> None:
        request = self.going_on(1, deadline=self.fleet.clock.now() + 0.1)
        request.deadline = request.head.deadline
        terms = make_slot_terms(request, self.router.ledger, AccountBacklog(self.router.ledger))
        self.assertEqual(request.deadline, terms.wait_until)

    def test_an_account_over_its_share_may_use_all_slots_for_streams_that_go_on(self) -> None:
        self.fleet.rate = 10.0
        for name in ("north", "south"):
            for router in self.fleet.routers:
                router.ledger.record_demand(name, 1000.0)
        self.router.ledger.record_usage("north", 1000.0)
        self.fleet.report()
        backlog = AccountBacklog(self.router.ledger)
        begins = make_slot_terms(self.fleet.request(), self.router.ledger, backlog)
        assert begins.share_used is not None
        self.assertGreater(begins.share_used, 1.0)
        goes_on = make_slot_terms(self.going_on(1), self.router.ledger, backlog)
        self.assertEqual(1.0, goes_on.share_used)
        self.assertTrue(goes_on.may_wait)

    def test_usage_and_demand_of_a_stream_that_goes_on_count(self) -> None:
        request = self.going_on(1)
        before = self.router.ledger.usage("north")
        self.router.gate.acquire(request, NONE).unwrap()
        self.assertEqual(before + request.cost, self.router.ledger.usage("north"))


if __name__ == "__main__":
    unittest.main()
