"""Tell other routers which targets said that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.announced.target_incarnation import TargetIncarnation

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.members.membership import Membership

TOPIC = "leaving"
LEAVES = 1
# Longer than a target that leaves goes on serving; few enough items at once where all are replaced.
TOLD_SECONDS = 120.0


class LeavingExchange:
    """Announce leavings that targets told this router, and take in those told to others.

    A target tells whoever sends it work. A router that started again, or has sent it nothing since,
    hears it here, also while the store is away.
    """

    def __init__(self, clock: Clock, registry: TargetRegistry, members: Membership) -> None:
        self._clock = clock
        self._registry = registry
        self._members = members

    def start(self) -> None:
        """Start to tell and to hear."""
        self._registry.notices.subscribe(self._announce)
        self._members.subscribe_topic(TOPIC, self._hear)

    def _announce(self, life: TargetIncarnation) -> None:
        until = self._clock.now() + TOLD_SECONDS
        self._members.announce(TOPIC, life, LEAVES, until=until)

    def _hear(self, life: str, _: int) -> None:
        self._registry.record_leaving(TargetIncarnation(life))
