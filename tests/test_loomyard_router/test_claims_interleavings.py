"""Tests that no interleaving sends a request twice."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from loomyard_router.claims.hosting import ClaimHosting
from loomyard_router.claims.log_claims import LogClaims
from loomyard_router.claims.messages import KeyView
from loomyard_router.claims.verdict import Verdict
from test_loomyard_router.claims_interleaving import WEIGHTS, Interleaving

STEPS = 80
MAX_SEED = (1 << 64) - 1
PROFILE = settings(
    max_examples=200,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[Phase.generate],  # to shrink a failure takes minutes
    suppress_health_check=list(HealthCheck),
)


class ClaimsInterleavingTest(unittest.TestCase):
    def run_drawn(self, make=None) -> Counter:
        seen: Counter[str] = Counter()

        @PROFILE
        @given(seed=st.integers(0, MAX_SEED), timed=st.booleans())
        def check(seed, timed):
            # Uniform draws: those of hypothesis repeat themselves and send far less often.
            draw = Random(seed)
            interleaving = Interleaving(timed, **({"make": make} if make else {}))
            try:
                for _ in range(STEPS):
                    actions = interleaving.actions()
                    kinds = sorted({action[0] for action in actions})
                    weighted = [kind for kind in kinds for _ in range(WEIGHTS.get(kind, 1))]
                    kind = draw.choice(weighted)
                    action = draw.choice([a for a in actions if a[0] == kind])
                    interleaving.apply(action)
                    seen[kind] += 1
                    self.assertEqual(interleaving.violations(), [], f"seed {seed}, timed {timed}")
                seen["sends"] += sum(interleaving.fleet.sends.values())
                seen["outcomes"] += len(interleaving.outcomes)
            finally:
                interleaving.stop()

        check()
        return seen

    def test_at_most_one_send(self) -> None:
        seen = self.run_drawn()
        self.assertGreater(seen["sends"], 40)
        self.assertGreater(seen["outcomes"], 100)

    def test_checker_finds_a_send_before_the_verdict_is_read(self) -> None:
        class Hasty(LogClaims):
            def _ask_begin(self, begun, deadline):
                super()._ask_begin(begun, deadline)
                return Verdict.GRANTED

        self.assert_found(Hasty)

    def test_checker_finds_a_send_after_no_verdict(self) -> None:
        class Hopeful(LogClaims):
            def _ask_begin(self, begun, deadline):
                return super()._ask_begin(begun, deadline) or Verdict.GRANTED

        self.assert_found(Hopeful)

    def test_checker_finds_a_takeover_from_an_owner_that_looks_dead(self) -> None:
        class Usurper(LogClaims):
            def _look_up(self, digest, deadline):
                view = super()._look_up(digest, deadline)
                return KeyView(ready=True) if view and self._is_lost(view) else view

            def _ask_begin(self, begun, deadline):
                view = super()._look_up(begun.key, deadline)
                if view and self._is_lost(view):
                    return Verdict.GRANTED
                return super()._ask_begin(begun, deadline)

        self.assert_found(Usurper)

    def assert_found(self, kind: type[LogClaims]) -> None:
        def make(*, log, clock, members, peers, window):
            hosting = ClaimHosting(log=log, clock=clock, members=members, peers=peers)
            return kind(clock=clock, members=members, hosting=hosting, window=window)

        with self.assertRaisesRegex(AssertionError, "ran 2 times"):
            self.run_drawn(make)
