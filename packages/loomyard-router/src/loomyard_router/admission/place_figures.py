"""What operators see of places: how fast targets begin answers, and why places were refused."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from attrs import frozen

from loomyard_router.admission.reading_pace import ReadingPace
from loomyard_router.announced.target_life import TargetLife


@frozen(kw_only=True)
class PlaceFigures:
    """Reads for metrics: ``paces`` by targets' lives, ``objections`` counted since the start.

    ``silent`` is how many keepers of places do not answer this router.
    """

    paces: Callable[[], Mapping[TargetLife, ReadingPace]] = dict
    objections: Callable[[], Mapping[str, int]] = dict
    silent: Callable[[], int] = lambda: 0
