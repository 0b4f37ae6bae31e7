"""Tests of the fairness gap and the utilisation computed by the benchmarks."""

from __future__ import annotations

import unittest
from itertools import combinations

import numpy as np

from loomyard_standins.benches.gap import contender_gap, fleet_gap
from loomyard_standins.benches.trace import BUCKET_SECONDS, Trace
from loomyard_standins.benches.utilisation import ServiceLoad, busy_at_edges, utilisation

ACCOUNTS, SERVICES, BUCKETS = 4, 2, 30


def brute_force(service: np.ndarray, both_backlogged: np.ndarray, weights: np.ndarray) -> float:
    """Return the largest gap over all account pairs and intervals with both backlogged."""
    worst = 0.0
    for i, j in combinations(range(len(weights)), 2):
        for start in range(BUCKETS):
            for stop in range(start + 1, BUCKETS + 1):
                if not both_backlogged[i, j, start:stop].all():
                    break
                received = service[:, start:stop].sum(axis=1) / weights
                worst = max(worst, abs(received[i] - received[j]))
    return worst


class GapTest(unittest.TestCase):
    def setUp(self) -> None:
        random = np.random.default_rng(5)
        self.service = random.exponential(10.0, (ACCOUNTS, SERVICES, BUCKETS))
        self.backlog = random.random((ACCOUNTS, SERVICES, BUCKETS)) < 0.85
        self.weights = np.array([1.0, 2.0, 1.0, 0.5])
        self.window = np.arange(BUCKETS) >= 3
        self.both_backlogged = (
            self.backlog[:, None] & self.backlog[None, :] & self.window
        )  # account, account, service, bucket

    def test_contenders_against_brute_force(self) -> None:
        expected = max(
            brute_force(self.service[:, s], self.both_backlogged[:, :, s], self.weights)
            for s in range(SERVICES)
        )
        found = contender_gap(self.service, self.backlog, self.weights, self.window)
        self.assertAlmostEqual(found.units, expected)

    def test_fleet_against_brute_force(self) -> None:
        expected = brute_force(
            self.service.sum(axis=1), self.both_backlogged.any(axis=2), self.weights
        )
        found = fleet_gap(self.service, self.backlog, self.weights, self.window)
        self.assertAlmostEqual(found.units, expected)

    def test_service_in_the_last_bucket_of_an_interval_counts(self) -> None:
        service = np.zeros((2, 1, 4))
        service[1, 0, 2] = 7.0
        backlog = np.ones((2, 1, 4), dtype=bool)
        window = np.array([True, True, True, False])
        gap = contender_gap(service, backlog, np.array([1.0, 2.0]), window)
        self.assertEqual((gap.units, gap.accounts), (3.5, (0, 1)))

    def test_no_gap_where_nothing_is_backlogged_together(self) -> None:
        backlog = np.zeros_like(self.backlog)
        backlog[0] = True
        gap = contender_gap(self.service, backlog, self.weights, self.window)
        self.assertEqual(gap.units, 0.0)


class TraceTest(unittest.TestCase):
    def test_backlog_covers_buckets_in_which_something_waited_throughout(self) -> None:
        trace = Trace(accounts=2, services=1, seconds=10 * BUCKET_SECONDS)
        trace.started = 0.0
        for sent, served in ((0.5, 3.2), (3.0, 5.1), (7.5, None)):
            request = trace.record_sent(1, 0)
            request.sent = sent * BUCKET_SECONDS
            request.served = None if served is None else served * BUCKET_SECONDS
        covered = np.flatnonzero(trace.backlog()[1, 0]).tolist()
        self.assertEqual(covered, [1, 2, 3, 4, 8, 9])
        self.assertFalse(trace.backlog()[0].any())

    def test_utilisation_counts_only_while_something_waits(self) -> None:
        step = BUCKET_SECONDS
        busy = busy_at_edges([(0.0, 0), (2 * step, 2), (4 * step, 1)], 0.0, 8)
        backlog = np.zeros((1, 1, 8), dtype=bool)
        backlog[0, 0, 2:6] = True
        load = ServiceLoad(slots=2, busy=busy)
        found = utilisation([load], backlog, np.ones(8, dtype=bool))
        self.assertAlmostEqual(found, (2 * 2 + 2 * 1) / (2 * 4))


if __name__ == "__main__":
    unittest.main()
