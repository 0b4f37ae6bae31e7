"""Latest prefill estimates of targets, as known to this router."""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING

from attrs import define, field

from loomyard_router.admission.prefill_estimate import PrefillEstimate
from loomyard_router.announced.target_incarnation import TargetLife

if TYPE_CHECKING:
    from collections.abc import Iterable


# Weights are rounded to half octaves, so that prompts seldom change their target.
STEPS_PER_OCTAVE = 2
MIN_WEIGHT = 0.5
MAX_WEIGHT = 2.0


@define(eq=False)
class TargetEstimates:
    """Prefill estimates by target incarnation: made here as slot owner, or received in replies.

    A router that becomes the slot owner of a target starts from what routers received of it before.
    """

    _latest: dict[TargetLife, PrefillEstimate] = field(factory=dict)

    def all(self) -> dict[TargetLife, PrefillEstimate]:
        """Return a copy of all estimates."""
        return dict(self._latest)

    def record(self, incarnation: TargetLife, estimate: PrefillEstimate) -> None:
        """Replace the estimate of a target by that of its slot owner."""
        self._latest[incarnation] = estimate

    def among(self, incarnations: Iterable[TargetLife]) -> dict[TargetLife, PrefillEstimate]:
        """Return the estimates of some targets, as far as there are any."""
        return {one: self._latest[one] for one in incarnations if one in self._latest}

    def find_prior(self, incarnation: TargetLife, others: Iterable[TargetLife]) -> PrefillEstimate:
        """Return the estimate of a target, or else the median of others, or else the default."""
        own = self._latest.get(incarnation)
        if own is not None:
            return own
        known = [self._latest[other] for other in others if other in self._latest]
        if not known:
            return PrefillEstimate()
        return PrefillEstimate(
            median(estimate.delay for estimate in known),
            median(estimate.tokens_per_second for estimate in known),
        )

    def weights(self, incarnations: Iterable[TargetLife]) -> dict[TargetLife, float]:
        """Return the prefill speed of each target relative to the median, rounded in steps."""
        listed = list(incarnations)
        known = [self._latest[one].tokens_per_second for one in listed if one in self._latest]
        if not known:
            return dict.fromkeys(listed, 1.0)
        middle = median(known)
        return {one: self._weigh(one, middle) for one in listed}

    def retain(self, known: set[TargetLife]) -> None:
        """Drop the state of all other incarnations."""
        for incarnation in set(self._latest) - known:
            del self._latest[incarnation]

    def _weigh(self, incarnation: TargetLife, middle: float) -> float:
        estimate = self._latest.get(incarnation)
        if estimate is None:
            return 1.0
        octaves = math.log2(estimate.tokens_per_second / middle)
        weight = 2.0 ** (round(octaves * STEPS_PER_OCTAVE) / STEPS_PER_OCTAVE)
        return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
