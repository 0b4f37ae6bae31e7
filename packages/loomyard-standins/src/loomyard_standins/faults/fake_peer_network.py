"""In-process datagrams and links between routers, instrumented with fault points."""

from __future__ import annotations

from contextlib import ExitStack, contextmanager
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import gevent
from attrs import frozen

from loomyard_router import fleet_components
from loomyard_standins.faults.instrumented_platform import InstrumentedPeers
from loomyard_standins.memory_network import MemoryNetwork

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from loomyard.clock import Clock
    from loomyard_router.members.membership import Membership
    from loomyard_standins.faults.fault_points import FaultPoints

PORT = 1


@frozen
class FakeSockets:
    """Stand-in for the bound peer sockets of a router: an address without sockets."""

    address: str
    stream: None = None
    datagram: None = None


class FakeDatagrams:
    """Datagram endpoint of one router."""

    def __init__(self, network: FakePeerNetwork, name: str, points: FaultPoints) -> None:
        self._network = network
        self._name = name
        self._points = points
        self._receive: Callable[[bytes], None] | None = None

    def send(self, address: str, data: bytes) -> None:
        self._points.checkpoint()
        self._network.send_datagram(self._name, address.rpartition(":")[0], data)

    def start(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def stop(self) -> None:
        self._receive = None

    def deliver(self, data: bytes) -> None:
        """Deliver a datagram to the router; blocks while the router is paused."""
        self._points.checkpoint()
        if self._receive is not None:
            self._receive(data)


class FakePeerNetwork:
    """Network that connects routers by name; ``links`` holds the partitions."""

    def __init__(self) -> None:
        self.links = MemoryNetwork()
        self._datagrams: dict[str, FakeDatagrams] = {}

    def send_datagram(self, sender: str, to: str, data: bytes) -> None:
        """Send a datagram asynchronously; drops it across a partition."""
        if to in self._datagrams and not self.links.is_cut(sender, to):
            gevent.spawn(self._datagrams[to].deliver, data)

    def leave(self, name: str) -> None:
        """Remove a router from the network, as when its process ends."""
        self.links.leave(name)
        self._datagrams.pop(name, None)

    @contextmanager
    def connect(self, name: str, clock: Clock, points: FaultPoints) -> Iterator[None]:
        """Patch ``fleet_components`` so that a router made in the context uses this network."""

        def make_links(*, members: Membership, **_: Any) -> InstrumentedPeers:
            return InstrumentedPeers(self.links.join(members.own), members, clock, points)

        def make_datagrams(_: None) -> FakeDatagrams:
            self._datagrams[name] = FakeDatagrams(self, name, points)
            return self._datagrams[name]

        fakes: dict[str, Any] = {
            "bind_peer_sockets": FakeSockets,
            "UdpDatagrams": make_datagrams,
            "WebSocketLinks": make_links,
        }
        with ExitStack() as stack:
            for attribute, fake in fakes.items():
                stack.enter_context(patch.object(fleet_components, attribute, fake))
            yield


def peer_address(name: str) -> str:
    """Return the peer address (``name:port``) of a router."""
    return f"{name}:{PORT}"
