"""Tests of generated fault sequences, and of sequences that failed in the past."""

from __future__ import annotations

import random
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from loomyard_standins.faults import planted_bugs as bugs
from loomyard_standins.faults.checkers import Invariant
from loomyard_standins.faults.fault_event import POINTS, ROUTERS, SECONDS, draw_sequence
from loomyard_standins.faults.fault_event import FaultEvent as Happening
from loomyard_standins.faults.fault_kind import FaultKind
from loomyard_standins.faults.sequences import run_sequence

# Hypothesis seeds derandomized draws with the source of the test: keep the names in test_pairs.
HAPPENINGS = st.builds(
    Happening,
    fault=st.sampled_from([*FaultKind, None]),
    victim=st.integers(0, ROUTERS - 1),
    point=st.sampled_from(POINTS),
    seconds=st.sampled_from(SECONDS),
    heals=st.booleans(),
)
PROFILE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=40,
    suppress_health_check=list(HealthCheck),
)
# Seed and number of `make soak` sequences that once violated an invariant.
FAILED_ONCE = [
    (1, 307),
    (1, 371),
    (1, 502),
    (1, 837),
    (1, 1219),
    (1, 1638),
    (2, 323),
    (2, 800),
    (2, 1278),
]


class FaultSequencesTest(unittest.TestCase):
    @PROFILE
    @given(st.lists(HAPPENINGS, min_size=2, max_size=2))
    def test_pairs(self, happenings: list[Happening]) -> None:
        self.assertEqual(run_sequence(happenings), [])

    def test_sequences_that_failed_once(self) -> None:
        for seed, number in FAILED_ONCE:
            with self.subTest(seed=seed, number=number):
                sequence = draw_sequence(random.Random(f"{seed}/{number}"))
                self.assertEqual(run_sequence(sequence), [])

    def test_a_planted_bug_is_found(self) -> None:
        nothing = Happening(
            fault=FaultKind.WEIGHT_STORE_LIMITED, victim=0, point="", seconds=0.2, heals=True
        )
        found = run_sequence([nothing], wrap_engine=bugs.SendsTwice)
        self.assertEqual({violation.invariant for violation in found}, {Invariant.AT_MOST_ONCE})


if __name__ == "__main__":
    unittest.main()
