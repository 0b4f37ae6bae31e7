"""Simulated network between router processes: delays between data centres, partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from result import Err, Result

from loomyard.errors import Fault, ResultCode
from loomyard_standins.benches.data_centres import ONE_WAY_DELAY_SECONDS

if TYPE_CHECKING:
    from loomyard_router.components import RouterComponents
    from loomyard_router.members.membership import Membership


class PeerNetwork:
    """Wrap the peer links and datagrams of a router to delay or silently drop messages."""

    def __init__(self, components: RouterComponents) -> None:
        self._members: Membership = components.members
        self._partitioned_names: set[str] = set()
        self._partitioned_addresses: set[str] = set()
        self._wrap_links(components.peers)
        if hasattr(components.members, "_datagrams"):
            self._wrap_datagrams(components.members._datagrams)

    def partition(self, names: set[str]) -> None:
        """Drop all messages to the named routers from now on; an empty set ends the partition."""
        self._partitioned_names = names
        members = [self._members.find(name) for name in names]
        self._partitioned_addresses = {member.address for member in members if member is not None}

    def _wrap_links(self, peers: Any) -> None:
        send, request = peers.send, peers.request

        def delayed_send(to: str, message: Any) -> bool:
            if to in self._partitioned_names:
                return True
            if self._is_near(to):
                return send(to, message)
            gevent.spawn_later(ONE_WAY_DELAY_SECONDS, send, to, message)
            return True

        def delayed_request(to: str, message: Any, deadline: float) -> Result[Any, Fault]:
            if to in self._partitioned_names:
                gevent.sleep(ONE_WAY_DELAY_SECONDS)
                return Err(
                    Fault(code=ResultCode.PEER_UNREACHABLE, detail=f"{to} is partitioned off")
                )
            if not self._is_near(to):
                gevent.sleep(2 * ONE_WAY_DELAY_SECONDS)
            return request(to, message, deadline)

        peers.send, peers.request = delayed_send, delayed_request

    def _wrap_datagrams(self, datagrams: Any) -> None:
        send = datagrams.send

        def delayed_send(address: str, data: bytes) -> None:
            if address not in self._partitioned_addresses:
                gevent.spawn_later(ONE_WAY_DELAY_SECONDS, send, address, data)

        datagrams.send = delayed_send

    def _is_near(self, name: str) -> bool:
        member = self._members.find(name)
        return member is not None and member.data_centre == self._members.own.data_centre
