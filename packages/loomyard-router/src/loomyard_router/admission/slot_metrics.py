"""What operators see of places: how fast targets begin answers, and why places were refused."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from attrs import frozen

from loomyard_router.admission.prefill_estimate import PrefillEstimate
from loomyard_router.announced.target_incarnation import TargetIncarnation


@frozen(kw_only=True)
class SlotMetrics:
    """Reads for metrics: ``paces`` by targets' lives, ``objections`` counted since the start.

    ``silent`` is how many keepers of places do not answer this router.
    """

    prefill_estimates: Callable[[], Mapping[TargetIncarnation, PrefillEstimate]] = dict
    refusals: Callable[[], Mapping[str, int]] = dict
    unresponsive_owners: Callable[[], int] = lambda: 0
