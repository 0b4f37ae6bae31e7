"""Broadcast leaving records: by gossip, and by direct messages that each router forwards once."""

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

    Receive = Callable[[str, int], None]

# Gossip alone takes 2 s at about 40 routers. In a large fleet, direct messages to this many
# neighbours miss about 1 router in 150, which nearly any gossip exchange then reaches.
NEIGHBOURS = 5
GOSSIP_ITEM_SECONDS = 600.0
# Token bucket for direct messages; above this rate, records go by gossip only.
NOTICES_PER_SECOND = 40.0
BURST = 100.0


class LeavingBroadcast:
    """Sends each record that is new at this router by gossip and to its rendezvous neighbours."""

    def __init__(self, clock: Clock, members: Membership, peers: PeerLinks, gossip: Gossip) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._gossip = gossip
        self._handlers: dict[str, Receive] = {}
        self._tokens = BURST
        self._refilled_at = clock.now()
        peers.handle(LeavingNotice, self._receive)

    def subscribe(self, topic: str, received: Receive) -> None:
        """Call back with key and value of each received record, which may be old or repeated."""
        self._handlers[topic] = received
        self._gossip.subscribe_topic(topic, received)

    def announce(self, topic: str, key: str, value: int) -> None:
        """Send a record that is new at this router to the others."""
        until = self._clock.now() + GOSSIP_ITEM_SECONDS
        self._gossip.announce(topic, key, value, until=until)
        notice = LeavingNotice(topic=topic, key=key, value=value)
        for name in self._neighbours():
            if self._take_token():
                self._peers.send(name, notice)

    def _receive(self, _: Member, notice: LeavingNotice) -> None:
        if notice.topic in self._handlers:
            self._handlers[notice.topic](notice.key, notice.value)

    def _neighbours(self) -> list[str]:
        own = self._members.own.name
        others = [member.name for member in self._members.live() if member.name != own]
        return rendezvous.rank(own, others)[:NEIGHBOURS]

    def _take_token(self) -> bool:
        now = self._clock.now()
        refilled = self._tokens + (now - self._refilled_at) * NOTICES_PER_SECOND
        self._tokens, self._refilled_at = min(BURST, refilled), now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
