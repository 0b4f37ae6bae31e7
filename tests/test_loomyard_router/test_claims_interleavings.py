"""Tests with random interleavings that no request is sent twice.

Incorrect implementations are run too, so that the check itself is known to find a second send.
"""

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
    phases=[Phase.generate],  # shrinking a failure would take minutes
    suppress_health_check=list(HealthCheck),
)


class ClaimsInterleavingTest(unittest.TestCase):
    def run_interleavings(self, make=None) -> Counter:
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
        seen = self.run_interleavings()
        self.assertGreater(seen["sends"], 40)
        self.assertGreater(seen["outcomes"], 100)

    def test_check_finds_a_send_whatever_the_verdict(self) -> None:
        class IgnoresVerdict(LogClaims):
            def _request_begin(self, begun, deadline):
                super()._request_begin(begun, deadline)
                return Verdict.GRANTED

        self.assert_found(IgnoresVerdict)

    def test_check_finds_a_send_after_an_unknown_verdict(self) -> None:
        class AssumesGranted(LogClaims):
            def _request_begin(self, begun, deadline):
                return super()._request_begin(begun, deadline) or Verdict.GRANTED

        self.assert_found(AssumesGranted)

    def test_check_finds_a_takeover_from_an_owner_that_is_suspected_dead(self) -> None:
        class TakesOver(LogClaims):
            def _look_up(self, digest, deadline):
                view = super()._look_up(digest, deadline)
                return KeyView(ready=True) if view and self._is_outcome_unknown(view) else view

            def _request_begin(self, begun, deadline):
                view = super()._look_up(begun.key, deadline)
                if view and self._is_outcome_unknown(view):
                    return Verdict.GRANTED
                return super()._request_begin(begun, deadline)

        self.assert_found(TakesOver)

    def assert_found(self, kind: type[LogClaims]) -> None:
        def make(*, log, clock, members, peers, window):
            hosting = ClaimHosting(log=log, clock=clock, members=members, peers=peers)
            return kind(clock=clock, members=members, hosting=hosting, window=window)

        with self.assertRaisesRegex(AssertionError, "ran 2 times"):
            self.run_interleavings(make)
