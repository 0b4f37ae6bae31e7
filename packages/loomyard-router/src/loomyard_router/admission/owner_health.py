"""Track which slot owners do not answer, and probe them until they do."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import gevent
from attrs import frozen

from loomyard.events import Event, emit
from loomyard_router.lag.lagging_routers import AllFit
from loomyard_router.peers.message_types import peer_message
from loomyard_router.supervision.listeners import Listeners
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.lag.lagging_routers import RouterFitness
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

logger = logging.getLogger(__name__)

# A round trip between data centres and one turn of the peer's event loop take a few milliseconds.
REPLY_SECONDS = 0.06
PROBE_SECONDS = 0.5
# With less than this fraction of the routers responsive, the links of this router are at fault.
MIN_RESPONSIVE_FRACTION = 0.5
# A router that had a reply from a peer within this time is not partitioned.
RECENT_REPLY_SECONDS = 1.0
# Peers that a router probes before it considers itself partitioned.
MAX_PEERS_PROBED = 2


@peer_message("kp")
@frozen
class OwnerProbe:
    """Ask whether a slot owner answers again; the reply is ``OwnerProbeReply``."""


@peer_message("kr")
@frozen
class OwnerProbeReply:
    """Empty reply of a slot owner that answers."""


class OwnerHealth:
    """Exclude unresponsive slot owners until they answer a probe or membership declares them dead.

    In a large fleet membership takes some seconds to declare a router dead. Meanwhile the next
    router in the rank of a target stands in for its owner; it becomes the owner once the first one
    is declared dead. A router that cannot reach any other peer either uses no stand-in: it would
    count only its own requests.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        members: Membership,
        peers: PeerLinks,
        fitness: RouterFitness | None = None,
    ) -> None:
        self._clock = clock
        self._members = members
        self._fitness = fitness or AllFit()
        self._peers = peers
        self._probes: dict[str, gevent.Greenlet] = {}
        self._listeners = Listeners("owner health")
        self._last_reply_at = -math.inf
        self._is_partitioned = False
        self._fitness.subscribe(self._notify)
        peers.handle(OwnerProbe, self._reply)

    @property
    def unresponsive(self) -> frozenset[str]:
        """Return the names of the routers that do not answer."""
        return frozenset(self._probes)

    def is_unresponsive(self, owner: str) -> bool:
        """Tell whether a router does not answer."""
        return owner in self._probes

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call back when a router becomes unresponsive or answers again; it must not block."""
        self._listeners.subscribe(on_change)

    def candidates(self) -> list[str]:
        """Return the routers that may own slots: all fit ones while this router is partitioned."""
        live = self.regular_candidates()
        responsive = [name for name in live if name not in self._probes]
        if self._is_partitioned or len(responsive) < MIN_RESPONSIVE_FRACTION * len(live):
            return live
        return responsive

    def regular_candidates(self) -> list[str]:
        """Return the routers that may own slots if all of them answer."""
        return self._fitness.fit([member.name for member in self._members.live()])

    def record_reply(self) -> None:
        """Record that a peer replied, so this router is not partitioned."""
        self._last_reply_at = self._clock.now()
        if self._is_partitioned:
            self._is_partitioned = False
            self._notify()

    def record_timeout(self, owner: str, detail: str) -> None:
        """Record that a slot owner did not reply in time, and start to probe it."""
        if owner in self._probes:
            return
        self._probes[owner] = start_task("owner health", self._probe, owner)
        self._is_partitioned = not self._reaches_a_peer()
        emit(
            logger,
            Event.KEEPER_SILENT,
            keeper=owner,
            detail=detail,
            silent=len(self._probes),
            cut_off=self._is_partitioned,
        )
        self._notify()

    def stop(self) -> None:
        """Stop all probes."""
        gevent.killall(list(self._probes.values()), block=False)

    def _probe(self, owner: str) -> None:
        try:
            while any(member.name == owner for member in self._members.live()):
                self._clock.sleep(PROBE_SECONDS)
                if self._answers(owner):
                    emit(logger, Event.KEEPER_ANSWERS, keeper=owner)
                    break
        finally:
            # An owner without a probe would stay excluded.
            del self._probes[owner]
        self._notify()

    def _reaches_a_peer(self) -> bool:
        if self._clock.now() - self._last_reply_at < RECENT_REPLY_SECONDS:
            return True
        own = self._members.own.name
        live = (member.name for member in self._members.live())
        others = [name for name in live if name != own and name not in self._probes]
        return any(self._answers(name) for name in others[:MAX_PEERS_PROBED])

    def _answers(self, name: str) -> bool:
        deadline = self._clock.now() + REPLY_SECONDS
        if self._peers.request(name, OwnerProbe(), deadline).is_err():
            return False
        self.record_reply()
        return True

    def _reply(self, member: Member, probe: OwnerProbe) -> OwnerProbeReply:
        return OwnerProbeReply()

    def _notify(self) -> None:
        self._listeners.notify()
