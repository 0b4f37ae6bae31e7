"""Choose a target by its cached prompt prefixes, within a bound on its load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Sequence

    from loomyard_router.admission.target_loads import TargetLoads
    from loomyard_router.announced.announced_target import AnnouncedTarget

# A target is skipped where its load exceeds LOAD_BOUND times the mean plus LOAD_SLACK requests.
LOAD_BOUND = 1.3
LOAD_SLACK = 2.0


class TargetChoice:
    """Rendezvous hashing with bounded loads, or the least loaded target without a prompt."""

    def __init__(self, loads: TargetLoads) -> None:
        self._loads = loads

    def choose(
        self, affinity_key: str, targets: Sequence[AnnouncedTarget], key: str
    ) -> AnnouncedTarget | None:
        """Return a target with a free slot, or ``None``; ``key`` breaks ties of equal load."""
        free = [target for target in targets if self._loads.has_free_slot(target)]
        if not free:
            return None
        if len(free) == 1:
            return free[0]
        if not affinity_key:
            order = rank(key, [target.id for target in free])
            position = {target_id: number for number, target_id in enumerate(order)}
            return min(free, key=lambda one: (self._loads.running(one), position[one.id]))
        by_id = {target.id: target for target in free}
        mean = sum(self._loads.running(target) for target in targets) / len(targets)
        bound = LOAD_BOUND * mean + LOAD_SLACK
        ranked = [by_id[target_id] for target_id in rank(affinity_key, by_id)]
        for target in ranked:
            if self._loads.running(target) < bound:
                return target
        return min(ranked, key=self._loads.running)
