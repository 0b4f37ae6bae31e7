"""The components of a router, which the application wires together."""

from __future__ import annotations

from attrs import define, field

from loomyard.clock import Clock
from loomyard.external.engine import Engine
from loomyard.external.log_service import LogService
from loomyard.external.vm_list import VmList
from loomyard.external.weight_store import WeightStore
from loomyard_router.claims.claim_coordinator import ClaimCoordinator
from loomyard_router.configuration.distribution import ConfigDistribution
from loomyard_router.configuration.follower import ConfigFollower
from loomyard_router.members.membership import Membership
from loomyard_router.members.table_sync import TableSync
from loomyard_router.members.vm_list_poller import VmListPoller
from loomyard_router.orders.order_controller import OrderController
from loomyard_router.peers.links import PeerLinks
from loomyard_router.peers.traffic import TrafficCounters
from loomyard_router.requests.journal import Journal
from loomyard_router.shares.policy import SharePolicy
from loomyard_router.targets.directory import TargetDirectory


@define(kw_only=True, eq=False)
class Platform:
    """The clock and the external systems; ``None`` for those that the settings don't name."""

    clock: Clock
    log: LogService
    engine: Engine
    vm_list: VmList | None = None
    weight_store: WeightStore | None = None


@define(kw_only=True, eq=False)
class RouterComponents:
    """The components that work together in one router."""

    members: Membership
    peers: PeerLinks
    follower: ConfigFollower
    distribution: ConfigDistribution
    targets: TargetDirectory
    policy: SharePolicy
    claims: ClaimCoordinator
    journal: Journal
    traffic: TrafficCounters = field(factory=TrafficCounters)
    vm_list_poller: VmListPoller | None = None
    table_sync: TableSync | None = None
    orders: OrderController | None = None
