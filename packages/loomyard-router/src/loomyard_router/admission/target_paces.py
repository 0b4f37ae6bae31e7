"""What this router last heard of how fast targets begin their answers."""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING

from attrs import define, field

from loomyard_router.admission.prefill_estimate import PrefillEstimate
from loomyard_router.announced.target_incarnation import TargetIncarnation

if TYPE_CHECKING:
    from collections.abc import Iterable


# Relative capacities are told apart by half an octave, so that prompts seldom change their target.
STEPS_PER_OCTAVE = 2
LEAST_WEIGHT = 0.5
MOST_WEIGHT = 2.0


@define(eq=False)
class TargetPaces:
    """Paces by the lives of targets: of those kept here, and as keepers told them in answers.

    Whoever becomes the keeper of a target begins with what routers heard of it before.
    """

    _heard: dict[TargetIncarnation, PrefillEstimate] = field(factory=dict)

    def all(self) -> dict[TargetIncarnation, PrefillEstimate]:
        """Return the last word on each target."""
        return dict(self._heard)

    def hear(self, life: TargetIncarnation, pace: PrefillEstimate) -> None:
        """Take in what the keeper of a target believes of it."""
        self._heard[life] = pace

    def among(self, lives: Iterable[TargetIncarnation]) -> dict[TargetIncarnation, PrefillEstimate]:
        """Return the last words on those of some targets of which anything was heard."""
        return {life: self._heard[life] for life in lives if life in self._heard}

    def believed(
        self, life: TargetIncarnation, others: Iterable[TargetIncarnation]
    ) -> PrefillEstimate:
        """Return what to expect of a target: its own pace, or what is usual among others."""
        own = self._heard.get(life)
        if own is not None:
            return own
        heard = [self._heard[other] for other in others if other in self._heard]
        if not heard:
            return PrefillEstimate()
        return PrefillEstimate(
            median(pace.delay for pace in heard),
            median(pace.tokens_per_second for pace in heard),
        )

    def weights(self, lives: Iterable[TargetIncarnation]) -> dict[TargetIncarnation, float]:
        """Return the capacity of each target relative to the usual one, in steps."""
        listed = list(lives)
        heard = [self._heard[life].tokens_per_second for life in listed if life in self._heard]
        if not heard:
            return dict.fromkeys(listed, 1.0)
        usual = median(heard)
        return {life: self._weigh(life, usual) for life in listed}

    def forget(self, known: set[TargetIncarnation]) -> None:
        """Forget lives of targets that are not known any more."""
        for life in set(self._heard) - known:
            del self._heard[life]

    def _weigh(self, life: TargetIncarnation, usual: float) -> float:
        pace = self._heard.get(life)
        if pace is None:
            return 1.0
        octaves = math.log2(pace.tokens_per_second / usual)
        weight = 2.0 ** (round(octaves * STEPS_PER_OCTAVE) / STEPS_PER_OCTAVE)
        return min(MOST_WEIGHT, max(LEAST_WEIGHT, weight))
