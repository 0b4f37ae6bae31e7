"""Spread leaving records fast: by gossip and straight to a few neighbours, who pass them on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard import rendezvous
from loomyard_router.targets.leaving_notice import LeavingNotice

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.targets.gossip import Gossip

    Hear = Callable[[str, int], None]

# Gossip alone takes 2 s at about 40 routers. Of a large fleet this many neighbours leave
# about 1 router in 150 to the gossip, which then hears it from nearly everybody.
NEIGHBOURS = 5
ITEM_SECONDS = 600.0
# Beyond this many notices a second only the gossip goes on.
NOTICES_PER_SECOND = 40.0
BURST = 100.0


class Spread:
    """Each router passes each new record on once."""

    def __init__(self, clock: Clock, members: Membership, peers: PeerLinks, gossip: Gossip) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._gossip = gossip
        self._handlers: dict[str, Hear] = {}
        self._budget = BURST
        self._budget_at = clock.now()
        peers.handle(LeavingNotice, self._hear)

    def subscribe(self, topic: str, heard: Hear) -> None:
        """Call back with what peers say, which may be old or repeated."""
        self._handlers[topic] = heard
        self._gossip.subscribe_topic(topic, heard)

    def announce(self, topic: str, key: str, value: int) -> None:
        """Tell a record that is new here."""
        until = self._clock.now() + ITEM_SECONDS
        self._gossip.announce(topic, key, value, until=until)
        notice = LeavingNotice(topic=topic, key=key, value=value)
        for name in self._neighbours():
            if self._may_send():
                self._peers.send(name, notice)

    def _hear(self, _: Member, notice: LeavingNotice) -> None:
        if notice.topic in self._handlers:
            self._handlers[notice.topic](notice.key, notice.value)

    def _neighbours(self) -> list[str]:
        own = self._members.own.name
        others = [member.name for member in self._members.live() if member.name != own]
        return rendezvous.rank(own, others)[:NEIGHBOURS]

    def _may_send(self) -> bool:
        now = self._clock.now()
        grown = self._budget + (now - self._budget_at) * NOTICES_PER_SECOND
        self._budget, self._budget_at = min(BURST, grown), now
        if self._budget < 1:
            return False
        self._budget -= 1
        return True
