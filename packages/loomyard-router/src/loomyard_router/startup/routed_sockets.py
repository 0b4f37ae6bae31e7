"""The sockets of a router, all of them obtained before anything of it starts."""

from __future__ import annotations

import socket
from functools import partial
from typing import TYPE_CHECKING

from attrs import define, field, frozen
from result import Err, Ok, Result

from loomyard.util.addresses import split_address
from loomyard_router.peers.sockets import BACKLOG, PeerSockets, bind_peer_sockets, bind_stream
from loomyard_router.routed_settings import RoutedSettings

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from loomyard.errors import Fault
    from loomyard_router.startup.port_wait import PortWait

    # A server binds by itself what is an address.
    Listener = socket.socket | tuple[str, int]


@frozen(kw_only=True)
class RoutedSockets:
    """Listeners for callers, readiness checks and offloaded connections; sockets for peers."""

    front: Listener
    ready: Listener
    offload: Listener | None = None
    peers: PeerSockets | None = None


def unbound_sockets(settings: RoutedSettings) -> RoutedSockets:
    """Return the addresses of the settings, which the servers bind as they start."""
    return RoutedSockets(
        front=split_address(settings.listen),
        ready=split_address(settings.ready_listen),
        offload=split_address(settings.offload_listen) if settings.offload_listen else None,
    )


def reserve_sockets(settings: RoutedSettings, wait: PortWait) -> Result[RoutedSockets, Fault]:
    """Obtain all sockets, or none and the fault of the address that was not to be had."""
    reservation = _Reservation(settings)
    for address, step in reservation.steps():
        match wait.obtain(address, step):
            case Err() as failed:
                reservation.close()
                return failed
    return Ok(reservation.sockets())


@define(eq=False)
class _Reservation:
    """Bind all addresses, then listen at all: nobody takes a process that waits for a router.

    The address for peers comes last, since only one process can have that for datagrams: of two
    that start at once, one obtains all and the other one waits.
    """

    _settings: RoutedSettings
    _streams: dict[str, socket.socket] = field(factory=dict)
    _peers: PeerSockets | None = None

    def steps(self) -> Iterator[tuple[str, Callable[[], None]]]:
        settings = self._settings
        addresses = {"front": settings.listen, "ready": settings.ready_listen}
        if settings.offload_listen:
            addresses["offload"] = settings.offload_listen
        for role, address in addresses.items():
            yield address, partial(self._bind, role, address)
        if settings.peer_listen:
            yield settings.peer_listen, self._bind_peers
        for role, address in addresses.items():
            yield address, partial(self._streams[role].listen, BACKLOG)
        if self._peers is not None:
            yield settings.peer_listen, partial(self._peers.stream.listen, BACKLOG)

    def sockets(self) -> RoutedSockets:
        return RoutedSockets(
            front=self._streams["front"],
            ready=self._streams["ready"],
            offload=self._streams.get("offload"),
            peers=self._peers,
        )

    def close(self) -> None:
        for stream in self._streams.values():
            stream.close()
        if self._peers is not None:
            self._peers.close()

    def _bind(self, role: str, address: str) -> None:
        self._streams[role] = bind_stream(*split_address(address))

    def _bind_peers(self) -> None:
        self._peers = bind_peer_sockets(self._settings.peer_listen, listening=False)
