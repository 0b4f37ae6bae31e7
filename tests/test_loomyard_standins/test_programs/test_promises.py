"""Tests that each broken promise is seen, in whatever order its signs come."""

from __future__ import annotations

import unittest
from typing import Any

from loomyard_standins.programs.documents import EMPTYING
from loomyard_standins.programs.promise import Promise
from loomyard_standins.programs.promises import (
    KNOWN_ENDS,
    KNOWN_SECONDS,
    MORE_SENDS,
    MOST_COLD_RUNS,
    ORDER_SECONDS,
    STORE,
    Promises,
)
from loomyard_standins.programs.said_by_targets import (
    LEAVING_SECONDS,
    MOST_IN_REST,
    ON_ITS_WAY_SECONDS,
)
from loomyard_standins.programs.words import ONCE, REPEATABLE

ROUTER = "127.0.0.1:1"


class PromisesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.promises = Promises()

    def broken(self, *sayings: dict[str, Any]) -> list[Promise]:
        return [
            breach.promise
            for number, said in enumerate(sayings)
            for breach in self.promises.take({"at": float(number), **said})
        ]

    def probe(self, version: int, status: int, began: float) -> dict[str, Any]:
        return {"probe": version, "router": ROUTER, "status": status, "began": began}

    def test_an_answer_of_somebody_else(self) -> None:
        saw = {"saw": "a", "status": 200, "whole": True, "own": False}
        self.assertEqual([Promise.OWN_ANSWER], self.broken({"sent": "a", "kind": ONCE}, saw))

    def test_a_refusal_is_untrue_whether_the_run_came_before_or_after(self) -> None:
        for number, order in enumerate(((0, 1), (1, 0))):
            name = f"a{number}"
            run = {"run": name, "target": "t1"}
            saw = {"saw": name, "status": 503, "whole": False, "own": True}
            sayings = [(run, saw)[index] for index in order]
            sent = {"sent": name, "kind": REPEATABLE}
            self.assertEqual([Promise.NOT_RUN], self.broken(sent, *sayings))

    def test_a_second_run_counts_only_where_it_is_not_allowed(self) -> None:
        for kind, expected in ((REPEATABLE, []), (ONCE, [Promise.AT_MOST_ONCE])):
            runs = [{"run": kind, "target": target} for target in ("t1", "t2")]
            self.assertEqual(expected, self.broken({"sent": kind, "kind": kind}, *runs))

    def run_after_leaving(self, name: str, sent_at: float) -> list[Promise]:
        """Return what a run breaks whose request was sent after a router passed a leaving on."""
        sent = {"sent": name, "kind": REPEATABLE, "router": ROUTER, "at": sent_at}
        return self.broken(sent, {"run": name, "target": "t1", "at": sent_at + 0.1})

    def test_a_target_that_leaves_gets_nothing_from_a_router_that_passed_that_on(self) -> None:
        self.broken({"passed_leaving": "t1", "router": ROUTER, "at": 10.0})
        self.assertEqual([], self.run_after_leaving("a", 10.0 + LEAVING_SECONDS))
        self.assertEqual([Promise.LEAVING], self.run_after_leaving("b", 10.1 + LEAVING_SECONDS))
        # The store says nothing of that, so its faults excuse nothing.
        self.promises.disturb(STORE)
        self.assertEqual([Promise.LEAVING], self.run_after_leaving("c", 10.2 + LEAVING_SECONDS))

    def test_a_router_that_stood_still_or_started_since_may_have_forgotten_a_leaving(self) -> None:
        late = 20.0 + LEAVING_SECONDS
        for number, excuse in enumerate(
            (
                lambda: self.promises.disturb(ROUTER),
                lambda: self.promises.calm(ROUTER, 11.0),
                lambda: self.promises.note_router(ROUTER, 11.0),
            )
        ):
            self.promises = Promises()
            self.broken({"passed_leaving": "t1", "router": ROUTER, "at": 10.0})
            excuse()
            self.assertEqual([], self.run_after_leaving(f"a{number}", late))

    def turn_away(self, name: str, at: float, router: str = ROUTER) -> list[Promise]:
        """Return what a request breaks that a target turns away, asking for rest."""
        sent = {"sent": name, "kind": REPEATABLE, "router": router, "at": at - 0.1}
        return self.broken(sent, {"turned_away": name, "target": "t1", "rest": 5.0, "at": at})

    def test_a_third_request_in_the_time_of_rest_is_too_many(self) -> None:
        on_its_way = 10.0 + ON_ITS_WAY_SECONDS
        for number in range(10):
            self.assertEqual([], self.turn_away(f"a{number}", 10.0 + number / 100.0))
        for number in range(MOST_IN_REST):
            self.assertEqual([], self.turn_away(f"b{number}", on_its_way + 0.1))
        self.assertEqual([], self.turn_away("c", on_its_way + 0.2, "127.0.0.1:2"))
        self.assertEqual([Promise.REST], self.turn_away("d", on_its_way + 0.3))

    def test_requests_after_each_rest_are_allowed(self) -> None:
        for number in range(10):
            self.assertEqual([], self.turn_away(f"a{number}", 10.0 + 5.0 * number))

    def ending(self, number: int, at: float) -> dict[str, Any]:
        name = f"e{number}-{at}"
        self.broken({"sent": name, "kind": REPEATABLE, "router": ROUTER})
        return {"run": name, "target": f"t{number}", "ending": ONCE, "at": at}

    def end_three(self) -> None:
        for number in range(KNOWN_ENDS):
            self.broken({"ends": ONCE, "target": f"t{number}", "at": float(number)})

    def test_a_request_that_ends_targets_and_is_sent_on(self) -> None:
        self.end_three()
        late = KNOWN_ENDS + KNOWN_SECONDS
        runs = [self.ending(number, late + number) for number in range(MORE_SENDS + 1)]
        self.assertEqual([Promise.FEW_ENDS], self.broken(*runs))

    def test_what_is_sent_before_news_had_its_time_is_no_breach(self) -> None:
        self.end_three()
        early = KNOWN_ENDS - 1 + KNOWN_SECONDS
        self.assertEqual([], self.broken(*[self.ending(n, early) for n in range(9)]))

    def test_nor_is_what_is_sent_while_a_router_may_know_less(self) -> None:
        self.end_three()
        self.promises.disturb(ROUTER)
        self.assertEqual([], self.broken(*[self.ending(n, 20.0) for n in range(9)]))
        self.promises.calm(ROUTER, 30.0)
        self.assertEqual([], self.broken(*[self.ending(n, 30.0) for n in range(9)]))
        later = 31.0 + KNOWN_SECONDS
        self.assertEqual(
            [Promise.FEW_ENDS], self.broken(*[self.ending(n, later) for n in range(4)])
        )

    def run_of(self, name: str, at: float, target: str = "t1") -> dict[str, Any]:
        self.broken({"sent": name, "kind": REPEATABLE, "router": ROUTER})
        return {"run": name, "target": target, "at": at}

    def order(self, *, dropped: bool, at: float) -> dict[str, Any]:
        return {"acked": f"{EMPTYING}b", "version": None, "dropped": dropped, "at": at}

    def test_work_in_an_emptied_data_centre(self) -> None:
        self.promises.note_target("t1", "b")
        self.promises.note_target("t2", "a")
        self.broken(self.order(dropped=False, at=1.0))
        late = 1.1 + ORDER_SECONDS
        self.assertEqual([], self.broken(self.run_of("early", 2.0)))
        self.assertEqual([], self.broken(self.run_of("elsewhere", late, "t2")))
        self.assertEqual([Promise.EMPTIED], self.broken(self.run_of("late", late)))
        self.broken(self.order(dropped=True, at=late))
        self.assertEqual([], self.broken(self.run_of("back", late + 9.0)))

    def test_nobody_is_held_to_an_order_while_its_way_is_struck(self) -> None:
        self.promises.note_target("t1", "b")
        self.broken(self.order(dropped=False, at=1.0))
        for who in (ROUTER, STORE, "t1"):
            self.promises.disturb(who)
            self.assertEqual([], self.broken(self.run_of(f"struck {who}", 20.0)))
            self.promises.calm(who, 21.0)
            self.assertEqual([], self.broken(self.run_of(f"just after {who}", 22.0)))

    def test_a_cold_target_that_gets_more_than_it_bears(self) -> None:
        self.promises.note_target("t1", "a")
        self.promises.note_cold("t1", 0.0)
        runs = [self.run_of(f"c{n}", 10.0 + n / 100) for n in range(MOST_COLD_RUNS + 1)]
        self.assertEqual([Promise.COLD], self.broken(*runs))
        self.promises.note_cold("t1", None)
        self.assertEqual([], self.broken(*[self.run_of(f"w{n}", 11.0) for n in range(20)]))

    def test_what_nobody_sent(self) -> None:
        self.assertEqual([], self.broken({"run": "x", "target": "t1"}))
        self.assertEqual([Promise.ASKED], [one.promise for one in self.promises.unasked()])

    def test_a_version_that_goes_back(self) -> None:
        served, older = self.probe(4, 200, 0.0), self.probe(3, 404, 5.0)
        self.assertEqual([Promise.NEVER_BACK], self.broken(served, older))

    def test_a_version_that_is_not_there_yet_is_no_breach(self) -> None:
        served, newer = self.probe(4, 200, 0.0), self.probe(5, 404, 5.0)
        self.assertEqual([], self.broken(served, newer))

    def test_a_new_life_of_a_router_may_know_less(self) -> None:
        self.assertEqual([], self.broken(self.probe(4, 200, 0.0)))
        self.promises.note_router(ROUTER, 6.0)
        self.assertEqual([], self.broken(self.probe(4, 404, 5.0), self.probe(4, 404, 7.0)))

    def test_an_answer_that_overtook_another_is_no_breach(self) -> None:
        self.assertEqual([], self.broken(self.probe(4, 200, 0.0), self.probe(4, 404, 0.0)))

    def test_counts_and_the_time_to_the_first_sight_of_a_version(self) -> None:
        self.broken({"acked": "config", "version": 4}, self.probe(4, 200, 0.5))
        self.assertEqual([1.0], self.promises.lags)

    def test_what_runs_after_a_target_or_a_caller_left_is_measured(self) -> None:
        self.promises.note_leaving("t1", 0.5)
        run = {"run": "a", "target": "t1"}
        self.broken(
            {"sent": "a", "kind": ONCE}, {"left": "a"}, {"acked": "x", "version": None}, run
        )
        self.assertEqual([2.5], self.promises.after_leaving)
        self.assertEqual([2.0], self.promises.after_caller)


if __name__ == "__main__":
    unittest.main()
