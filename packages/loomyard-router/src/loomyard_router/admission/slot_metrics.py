"""Metrics of slots: prefill estimates of targets, refusals, and unresponsive slot owners."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from attrs import frozen

from loomyard_router.admission.prefill_estimate import PrefillEstimate
from loomyard_router.announced.target_incarnation import TargetLife


@frozen(kw_only=True)
class SlotMetrics:
    """Callables that are read when metrics are scraped.

    ``refusals`` counts refused slots by refusal reason since the start; ``unresponsive_owners`` is
    the number of slot owners that do not answer this router; ``given_up`` counts requests of other
    routers for slots owned here that they gave up without a grant.
    """

    prefill_estimates: Callable[[], Mapping[TargetLife, PrefillEstimate]] = dict
    refusals: Callable[[], Mapping[str, int]] = dict
    unresponsive_owners: Callable[[], int] = lambda: 0
    given_up: Callable[[], int] = lambda: 0
