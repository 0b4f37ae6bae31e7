"""Make the parts by which a router knows and reaches the others."""

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
from loomyard_router.peers.sockets import bind_peer_sockets
from loomyard_router.peers.tls import make_peer_tls
from loomyard_router.peers.traffic import TrafficCounters
from loomyard_router.peers.websocket_links import WebSocketLinks

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.outside.vm_list import VmList
    from loomyard_router.settings import Settings

MILLISECONDS = 1000


@frozen(kw_only=True)
class FleetParts:
    """Membership, links, their traffic, and the watch of the VM list where there is one."""

    members: Membership
    peers: PeerLinks
    traffic: TrafficCounters
    vm_watch: VmListPoller | None = None
    table_sync: TableSync | None = None


def make_fleet_parts(settings: Settings, clock: Clock, vm_list: VmList | None = None) -> FleetParts:
    """Make the parts that the settings ask for; without ``peer_listen`` a fleet of one."""
    traffic = TrafficCounters()
    # Starts of one name have to grow; there is no disk to count them on.
    incarnation = int(clock.wall() * MILLISECONDS)
    vm_watch = VmListPoller(vm_list, clock) if vm_list else None
    if not settings.peer_listen:
        sole = SoleMembership(_own_member(settings, incarnation, ""))
        return FleetParts(members=sole, peers=NoPeers(), traffic=traffic, vm_watch=vm_watch)
    secret = make_fleet_secret(settings.fleet_secret)
    tls = make_peer_tls(
        certificate=settings.peer_certificate,
        key=settings.peer_key,
        authority=settings.peer_authority,
    )
    sockets = bind_peer_sockets(settings.peer_listen)
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
    if vm_watch is not None:
        vm_watch.subscribe(members.apply_vm_list)
    return FleetParts(
        members=members,
        peers=peers,
        traffic=traffic,
        vm_watch=vm_watch,
        table_sync=TableSync(members, peers, clock),
    )


def _own_member(settings: Settings, incarnation: int, address: str) -> Member:
    return Member(
        name=settings.name,
        incarnation=incarnation,
        address=address,
        data_centre=settings.data_centre,
    )
