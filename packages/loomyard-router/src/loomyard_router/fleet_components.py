"""Create the components by which a router knows and reaches the other routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.members.datagram_seal import DatagramSeal
from loomyard_router.members.datagrams import UdpDatagrams
from loomyard_router.members.membership import Member, Membership, SoleMembership
from loomyard_router.members.swim import SwimMembership, SwimTimes
from loomyard_router.members.table_sync import TableSync
from loomyard_router.members.vm_list_poller import VmListPoller
from loomyard_router.peers.fleet_secret import make_fleet_secret
from loomyard_router.peers.links import PeerLinks
from loomyard_router.peers.no_peers import NoPeers
from loomyard_router.peers.sockets import PeerSockets, bind_peer_sockets
from loomyard_router.peers.tls import make_peer_tls
from loomyard_router.peers.traffic import TrafficCounters
from loomyard_router.peers.websocket_links import WebSocketLinks

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.external.vm_list import VmList
    from loomyard_router.settings import Settings

MILLISECONDS = 1000


@frozen(kw_only=True)
class FleetComponents:
    """Membership, peer links and their traffic; poller and table sync only where they are used."""

    members: Membership
    peers: PeerLinks
    traffic: TrafficCounters
    vm_list_poller: VmListPoller | None = None
    table_sync: TableSync | None = None


def make_fleet_components(
    settings: Settings,
    clock: Clock,
    vm_list: VmList | None = None,
    sockets: PeerSockets | None = None,
) -> FleetComponents:
    """Create the components for the settings; without ``peer_listen`` the fleet is this router.

    Without ``sockets`` that address is bound here.
    """
    traffic = TrafficCounters()
    # The incarnation has to grow with each start under one name. There is no disk to keep a
    # counter on, so it is the wall clock in milliseconds.
    incarnation = int(clock.wall() * MILLISECONDS)
    vm_list_poller = VmListPoller(vm_list, clock) if vm_list else None
    if not settings.peer_listen:
        sole = SoleMembership(_own_member(settings, incarnation, ""))
        return FleetComponents(
            members=sole, peers=NoPeers(), traffic=traffic, vm_list_poller=vm_list_poller
        )
    secret = make_fleet_secret(settings.fleet_secret)
    tls = make_peer_tls(
        certificate=settings.peer_certificate,
        key=settings.peer_key,
        authority=settings.peer_authority,
    )
    sockets = sockets or bind_peer_sockets(settings.peer_listen)
    members = SwimMembership(
        own=_own_member(settings, incarnation, sockets.address),
        datagrams=UdpDatagrams(sockets.datagram),
        seal=DatagramSeal(secret, clock),
        clock=clock,
        traffic=traffic,
        seeds=settings.peers,
        times=SwimTimes(period=settings.probe_period),
    )
    peers = WebSocketLinks(
        members=members,
        secret=secret,
        listener=sockets.stream,
        clock=clock,
        traffic=traffic,
        tls=tls,
    )
    if vm_list_poller is not None:
        vm_list_poller.subscribe(members.apply_vm_list)
    return FleetComponents(
        members=members,
        peers=peers,
        traffic=traffic,
        vm_list_poller=vm_list_poller,
        table_sync=TableSync(members, peers, clock),
    )


def _own_member(settings: Settings, incarnation: int, address: str) -> Member:
    return Member(
        name=settings.name,
        incarnation=incarnation,
        address=address,
        data_centre=settings.data_centre,
    )
