"""Gossip of the targets that told a router that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.announced.target_incarnation import TargetLife

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.members.membership import Membership

TOPIC = "leaving"
LEAVING_VALUE = 1
# Longer than a leaving target goes on serving; short enough to bound the number of gossip items
# while all targets are replaced.
GOSSIP_SECONDS = 120.0


class LeavingExchange:
    """Sends leaving targets that this router learned of to the others, and applies theirs.

    A target tells only routers that send it requests. Gossip informs the others and those that
    restart, also during a store outage.
    """

    def __init__(self, clock: Clock, registry: TargetRegistry, members: Membership) -> None:
        self._clock = clock
        self._registry = registry
        self._members = members

    def start(self) -> None:
        """Start to send and receive."""
        self._registry.notices.subscribe(self._announce)
        self._members.subscribe_topic(TOPIC, self._receive)

    def _announce(self, incarnation: TargetLife) -> None:
        until = self._clock.now() + GOSSIP_SECONDS
        self._members.announce(TOPIC, incarnation, LEAVING_VALUE, until=until)

    def _receive(self, incarnation: str, _: int) -> None:
        self._registry.record_leaving(TargetLife(incarnation))
