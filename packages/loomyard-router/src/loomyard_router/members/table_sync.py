"""Fetching of the whole member table where gossip alone would take long to converge.

In a small fleet one datagram holds the table. A router that joins hundreds would learn the last of
them only after a minute; it fetches the table of one of them over a link instead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field, frozen
from result import Ok

from loomyard_router.members.messages import MemberUpdate
from loomyard_router.peers.message_types import peer_message
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    import gevent

    from loomyard.clock import Clock
    from loomyard_router.members.swim import SwimMembership
    from loomyard_router.peers.links import PeerLinks

SYNC_INTERVAL = 0.5
REQUEST_SECONDS = 2.0


@peer_message("mt")
@frozen(kw_only=True)
class TableRequest:
    """Request the member table of a router."""


@peer_message("mu")
@frozen(kw_only=True)
class TableAnswer:
    """The member table of a router."""

    updates: list[MemberUpdate] = field(factory=list)


class TableSync:
    """Answer requests for the table, and fetch one where the own table stays different."""

    def __init__(self, members: SwimMembership, peers: PeerLinks, clock: Clock) -> None:
        self._members = members
        self._peers = peers
        self._clock = clock
        self._task: gevent.Greenlet | None = None
        peers.handle(TableRequest, lambda _, __: TableAnswer(updates=members.updates()))

    def start(self) -> None:
        """Start to compare periodically."""
        self._task = start_supervised("member table", self._clock, self._run)

    def stop(self) -> None:
        """End the task."""
        if self._task is not None:
            self._task.kill()

    def sync(self) -> None:
        """Fetch and merge a table if digests have differed for too long."""
        name = self._members.disagreeing_peer()
        if not name:
            return
        deadline = self._clock.now() + REQUEST_SECONDS
        match self._peers.request(name, TableRequest(), deadline):
            case Ok(TableAnswer(updates=updates)):
                self._members.merge_table(updates)

    def _run(self) -> None:
        while True:
            self._clock.sleep(SYNC_INTERVAL)
            self.sync()
