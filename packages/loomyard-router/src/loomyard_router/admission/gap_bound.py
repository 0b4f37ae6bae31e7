"""How much more than a backlogged client account another one may get."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from loomyard_router.admission.share_messages import NO_SHARE

if TYPE_CHECKING:
    from collections.abc import Mapping

# The users' bound on the gap between two accounts that wait all through is a ratio of two; what was
# granted since the last report and what is on its way takes a tenth of it.
GAP = 1.8
# An account that got so much less than it asked for waits.
WAITS = 1.25
# What one account gets must not hold all others back without end: one whose router can do no more
# would otherwise leave engines idle.
LEAST_PART = 0.5


class GapBound(Protocol):
    """Bound what an account may have got in the share window to be admitted to engines."""

    def find_most(
        self, asked: Mapping[str, float], given: Mapping[str, float], reached: float
    ) -> int:
        """Return the bound in tokens, ``NO_SHARE`` for none.

        ``reached`` is the max-min share of what engines do in fact.
        """


class NoGapBound:
    """Let whoever asks more often get what nobody waits for at an engine."""

    def find_most(
        self, asked: Mapping[str, float], given: Mapping[str, float], reached: float
    ) -> int:
        return NO_SHARE


class LeastServedGap:
    """Bound all by the least served of those that wait and asked for a whole share.

    Protects the bound on the gap between two backlogged accounts, which keepers alone do not hold:
    of two beyond their shares, with prompts of the same size, one at 1.3 times its share asked for
    0.93 million tokens in six seconds and got 0.32, one at 4 times got 1.60 (a day with two
    accounts that meet one router each). It costs engines what is held back while nobody else asks:
    with 2.0 and 1.6 in place of 1.8, 6 and 10 % fewer answers in time on the heaviest days of three
    deployments, the worth of the days the same (one run each).
    """

    def find_most(
        self, asked: Mapping[str, float], given: Mapping[str, float], reached: float
    ) -> int:
        waiting = [
            given.get(account, 0.0)
            for account, wanted in asked.items()
            if wanted >= reached and wanted > WAITS * given.get(account, 0.0)
        ]
        if not waiting:
            return NO_SHARE
        return round(GAP * max(min(waiting), LEAST_PART * reached))
