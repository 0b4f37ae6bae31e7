"""Fetch the whole table of another router where datagrams alone would take long to agree.

In a small fleet one datagram holds the table. A router that joins hundreds would learn the last of
them after a minute; it asks one of them over a link instead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from attrs import field, frozen
from result import Ok

from loomyard_router.members.messages import MemberUpdate
from loomyard_router.peers.message_types import peer_message

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.members.swim import SwimMembership
    from loomyard_router.peers.links import PeerLinks

INTERVAL = 0.5
REQUEST_SECONDS = 2.0


@peer_message("mt")
@frozen(kw_only=True)
class TableRequest:
    """Ask for all that a router believes."""


@peer_message("mu")
@frozen(kw_only=True)
class TableAnswer:
    """All that a router believes."""

    updates: list[MemberUpdate] = field(factory=list)


class TableSync:
    """Answer requests for the table, and make one where this router lags behind."""

    def __init__(self, members: SwimMembership, peers: PeerLinks, clock: Clock) -> None:
        self._members = members
        self._peers = peers
        self._clock = clock
        self._task: gevent.Greenlet | None = None
        peers.handle(TableRequest, lambda _, __: TableAnswer(updates=members.table()))

    def start(self) -> None:
        """Start to look for disagreement."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.kill()

    def sync(self) -> None:
        """Fetch a table, if this router has lagged behind for too long."""
        name = self._members.lagging_behind()
        if not name:
            return
        deadline = self._clock.now() + REQUEST_SECONDS
        match self._peers.request(name, TableRequest(), deadline):
            case Ok(TableAnswer(updates=updates)):
                self._members.take_table(updates)

    def _run(self) -> None:
        while True:
            self._clock.sleep(INTERVAL)
            self.sync()
