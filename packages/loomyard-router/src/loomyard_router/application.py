"""The application: one router, wired."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gevent.event import Event as GeventEvent

from loomyard.clock import SystemClock
from loomyard.events import Event, emit
from loomyard.outside.http_log import connect_log
from loomyard.outside.http_vm_list import connect_vm_list
from loomyard.outside.http_weight_store import connect_weight_store
from loomyard.util.addresses import split_address
from loomyard_router.callers.app import CallersApp
from loomyard_router.callers.handler import CallerServer
from loomyard_router.callers.in_flight import InFlight
from loomyard_router.claims.log_claims import make_log_claims
from loomyard_router.configuration.distribution import make_distribution
from loomyard_router.configuration.follower import ConfigFollower
from loomyard_router.fleet_parts import make_fleet_parts
from loomyard_router.metrics.exposition import MetersCollector
from loomyard_router.metrics.meters import Meters
from loomyard_router.metrics.server import MetricsServer
from loomyard_router.operators.interface import make_operators_interface
from loomyard_router.orders.combined_backlog import CombinedBacklog
from loomyard_router.orders.order_controller import make_order_controller
from loomyard_router.orders.refusal_notifier import RefusalNotifier
from loomyard_router.parts import Parts, Platform
from loomyard_router.requests.estimates import CostEstimates
from loomyard_router.requests.journal import Journal
from loomyard_router.requests.pending_resumes import PendingResumes
from loomyard_router.requests.request_pipeline import RequestPipeline
from loomyard_router.requests.stream_resumer import StreamResumer
from loomyard_router.requests.stream_token import StreamTokens
from loomyard_router.shares.fifo import make_fifo_policy
from loomyard_router.shares.fleet import FleetPolicy, make_fleet_policy
from loomyard_router.shares.local import make_local_policy
from loomyard_router.targets.http_engine import make_http_engine
from loomyard_router.targets.known_targets import make_known_targets

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.members.membership import Membership
    from loomyard_router.orders.backlog import BacklogView
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.settings import Settings
    from loomyard_router.shares.policy import SharePolicy
    from loomyard_router.targets.directory import TargetDirectory

logger = logging.getLogger(__name__)


class Application:
    """One router."""

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        parts: Parts,
        callers: CallersApp,
        *,
        serving: RequestPipeline,
        meters: Meters,
    ) -> None:
        self.parts = parts
        self.callers = callers
        self._settings = settings
        self._clock = platform.clock
        self._pipeline = serving
        self._in_flight = InFlight(platform.clock)
        self._drained: GeventEvent | None = None
        self._server = CallerServer(
            split_address(settings.listen),
            callers,
            log=None,
            error_log=logger,
            in_flight=self._in_flight,
            **_tls_options(settings),
        )
        collector = MetersCollector(meters, parts.traffic, lambda: len(self._in_flight))
        self.metrics = MetricsServer(settings.metrics_listen, lambda: callers.ready, collector)
        self.operators = make_operators_interface(
            settings,
            platform,
            parts,
            stopping=lambda: serving.stopping,
            begin_stop=self.request_stop,
        )
        self._stop_listeners: list[Callable[[], None]] = []

    @property
    def port(self) -> int:
        return self._server.server_port

    def on_stop_request(self, listener: Callable[[], None]) -> None:
        """Call back when an operator asks for a planned stop."""
        self._stop_listeners.append(listener)

    def request_stop(self) -> None:
        """Ask for a planned stop, as a signal to the process does."""
        for listener in self._stop_listeners:
            listener()

    def start(self) -> None:
        """Start to follow the configuration and to serve callers."""
        parts = self.parts
        parts.follower.subscribe(parts.targets.reconfigure)
        parts.follower.subscribe(parts.policy.reconfigure)
        for part in (parts.peers, parts.members, parts.follower, parts.targets):
            part.start()
        if parts.vm_watch is not None:
            parts.vm_watch.start()
        if parts.table_sync is not None:
            parts.table_sync.start()
        parts.claims.start()
        parts.policy.start()
        parts.distribution.start()
        if parts.orders is not None:
            parts.follower.subscribe(parts.orders.reconfigure)
            parts.orders.start()
        self._server.start()
        self.operators.start()
        self.metrics.start()
        emit(logger, Event.ROUTER_STARTED, name=self._settings.name, port=self.port)

    def drain(self) -> None:
        """Stop as planned: refuse new and waiting work, let what runs end, then stop.

        A second call waits for the first.
        """
        if self._drained is not None:
            self._drained.wait()
            return
        self._drained = GeventEvent()
        emit(logger, Event.ROUTER_STOPPING, in_flight=len(self._in_flight))
        deadline = self._clock.now() + self._settings.drain_seconds
        self._pipeline.stop()
        self.parts.members.leave()
        self._in_flight.wait_idle(deadline)
        emit(logger, Event.ROUTER_STOPPED, in_flight=len(self._in_flight))
        self.stop()
        self._drained.set()

    def stop(self) -> None:
        """Stop at once."""
        self.operators.stop()
        self.metrics.stop()
        self._server.stop()
        parts = self.parts
        parts.distribution.stop()
        if parts.orders is not None:
            parts.orders.stop()
        parts.policy.stop()
        parts.claims.stop()
        if parts.vm_watch is not None:
            parts.vm_watch.stop()
        if parts.table_sync is not None:
            parts.table_sync.stop()
        for part in (parts.targets, parts.follower, parts.members, parts.peers):
            part.stop()


def make_platform(settings: Settings) -> Platform:
    """Connect to the outside systems that the settings name."""
    clock = SystemClock()
    log = connect_log(settings.log_service)
    vm_list = connect_vm_list(settings.vm_list) if settings.vm_list else None
    store = settings.weight_store
    return Platform(
        clock=clock,
        log=log,
        engine=make_http_engine(clock),
        vm_list=vm_list,
        weight_store=connect_weight_store(store, clock) if store else None,
    )


def make_application(settings: Settings, platform: Platform | None = None) -> Application:
    """Wire a router from its settings."""
    platform = platform or make_platform(settings)
    clock = platform.clock
    fleet = make_fleet_parts(settings, clock, platform.vm_list)
    follower = ConfigFollower(platform.log, clock)
    targets = make_known_targets(clock, platform.engine, fleet.members, fleet.peers)
    if fleet.vm_watch is not None:
        fleet.vm_watch.subscribe(targets.apply_vm_list)
    parts = Parts(
        members=fleet.members,
        peers=fleet.peers,
        traffic=fleet.traffic,
        vm_watch=fleet.vm_watch,
        table_sync=fleet.table_sync,
        follower=follower,
        distribution=make_distribution(
            platform, follower, fleet.members, fleet.peers, retention=settings.log_retention
        ),
        targets=targets,
        policy=_make_policy(settings, clock, fleet.members, fleet.peers, targets),
        claims=make_log_claims(
            log=platform.log,
            clock=clock,
            members=fleet.members,
            peers=fleet.peers,
            window=settings.claim_window,
        ),
        journal=Journal(clock),
    )
    resuming = StreamResumer(
        clock=clock,
        follower=follower,
        engine=platform.engine,
        tokens=StreamTokens(settings.fleet_secret),
        pending=PendingResumes(clock, parts.peers, settings.name, seconds=settings.resume_seconds),
    )
    meters = Meters(clock)
    serving = RequestPipeline(
        clock=clock,
        follower=parts.follower,
        policy=parts.policy,
        targets=parts.targets,
        claims=parts.claims,
        engine=platform.engine,
        estimates=CostEstimates(),
        journal=parts.journal,
        stream_resumer=resuming,
        meters=meters,
    )
    RefusalNotifier(clock, parts.members, parts.peers, serving.backlog)
    parts.orders = make_order_controller(
        clock=clock,
        log=platform.log,
        engine=platform.engine,
        members=parts.members,
        targets=parts.targets,
        weights=platform.weight_store,
        backlog=_join_backlogs(serving, parts.policy),
    )
    callers = CallersApp(
        clock=clock, follower=follower, pipeline=serving, stream_resumer=resuming, meters=meters
    )
    return Application(settings, platform, parts, callers, serving=serving, meters=meters)


def _tls_options(settings: Settings) -> dict[str, str]:
    if not settings.certificate:
        return {}
    return {"certfile": settings.certificate, "keyfile": settings.private_key}


def _make_policy(
    settings: Settings,
    clock: Clock,
    members: Membership,
    peers: PeerLinks,
    directory: TargetDirectory,
) -> SharePolicy:
    if settings.policy == "fifo":
        return make_fifo_policy(clock)
    if settings.policy == "local":
        return make_local_policy(clock, position=settings.position, routers=settings.routers)
    return make_fleet_policy(
        clock,
        members=members,
        peers=peers,
        directory=directory,
        byte_rate=settings.share_bytes,
    )


def _join_backlogs(serving: RequestPipeline, policy: SharePolicy) -> BacklogView:
    if isinstance(policy, FleetPolicy):
        return CombinedBacklog((serving.backlog, policy))
    return serving.backlog
