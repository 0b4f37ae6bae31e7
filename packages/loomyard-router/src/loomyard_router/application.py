"""The application of a router whose configuration comes from the log service."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gevent.event import Event as GeventEvent
from result import Ok

from loomyard.clock import SystemClock
from loomyard.events import Event, emit
from loomyard.external.http_log import connect_log
from loomyard.external.http_vm_list import connect_vm_list
from loomyard.external.http_weight_store import connect_weight_store
from loomyard.util.addresses import split_address
from loomyard_router.callers.app import CallersApp
from loomyard_router.callers.handler import CallerServer
from loomyard_router.callers.in_flight import InFlight
from loomyard_router.claims.log_claims import make_log_claims
from loomyard_router.components import Platform, RouterComponents
from loomyard_router.configuration.distribution import make_distribution
from loomyard_router.configuration.follower import ConfigFollower
from loomyard_router.fleet_components import make_fleet_components
from loomyard_router.metrics.exposition import RouterCollector
from loomyard_router.metrics.request_metrics import RequestMetrics
from loomyard_router.metrics.server import MetricsServer
from loomyard_router.operators.interface import make_operators_interface
from loomyard_router.orders.combined_backlog import CombinedBacklog
from loomyard_router.orders.order_controller import make_order_controller
from loomyard_router.orders.refusal_notifier import RefusalNotifier
from loomyard_router.requests.estimates import CostEstimates
from loomyard_router.requests.journal import Journal
from loomyard_router.requests.pending_resumes import PendingResumes
from loomyard_router.requests.request_pipeline import RequestPipeline
from loomyard_router.requests.stream_resumer import StreamResumer
from loomyard_router.requests.stream_token import StreamTokens
from loomyard_router.shares.fifo import make_fifo_policy
from loomyard_router.shares.fleet import FleetPolicy, make_fleet_policy
from loomyard_router.shares.local import make_local_policy
from loomyard_router.supervision.listeners import Listeners
from loomyard_router.targets.http_engine import make_http_engine
from loomyard_router.targets.known_targets import make_known_targets

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from loomyard.clock import Clock
    from loomyard.errors import Fault
    from loomyard_router.members.membership import Membership
    from loomyard_router.orders.backlog import BacklogView
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.peers.sockets import PeerSockets
    from loomyard_router.settings import Settings
    from loomyard_router.shares.policy import SharePolicy
    from loomyard_router.startup.port_wait import PortWait
    from loomyard_router.targets.directory import TargetDirectory

logger = logging.getLogger(__name__)


class Application:
    """One router: its listeners and components, their start and their stop."""

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        components: RouterComponents,
        callers: CallersApp,
        *,
        pipeline: RequestPipeline,
        meters: RequestMetrics,
    ) -> None:
        self.components = components
        self.callers = callers
        self._settings = settings
        self._clock = platform.clock
        self._pipeline = pipeline
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
        collector = RouterCollector(meters, components.traffic, lambda: len(self._in_flight))
        self.metrics = MetricsServer(settings.metrics_listen, lambda: callers.ready, collector)
        self.operators = make_operators_interface(
            settings,
            platform,
            components,
            stopping=lambda: pipeline.stopping,
            begin_stop=self.request_stop,
        )
        self._stop_listeners = Listeners("stop")

    @property
    def port(self) -> int:
        return self._server.server_port

    def on_stop_request(self, listener: Callable[[], None]) -> None:
        """Call back when an operator requests a graceful shutdown."""
        self._stop_listeners.subscribe(listener)

    def request_stop(self) -> None:
        """Request a graceful shutdown, as a signal to the process does."""
        self._stop_listeners.notify()

    def bind(self, wait: PortWait) -> Result[None, Fault]:
        """Obtain the addresses for operators, metrics and callers before the start."""
        settings = self._settings
        for address, bind in (
            (settings.operator_listen, self.operators.bind),
            (settings.metrics_listen, self.metrics.bind),
            (settings.listen, self._server.init_socket),
        ):
            outcome = wait.obtain(address, bind)
            if outcome.is_err():
                return outcome
        return Ok(None)

    def start(self) -> None:
        """Start following the configuration and serving callers."""
        components = self.components
        components.follower.subscribe(components.targets.reconfigure)
        components.follower.subscribe(components.policy.reconfigure)
        for component in (
            components.peers,
            components.members,
            components.follower,
            components.targets,
        ):
            component.start()
        if components.vm_list_poller is not None:
            components.vm_list_poller.start()
        if components.table_sync is not None:
            components.table_sync.start()
        components.claims.start()
        components.policy.start()
        components.distribution.start()
        if components.orders is not None:
            components.follower.subscribe(components.orders.reconfigure)
            components.orders.start()
        self._server.start()
        self.operators.start()
        self.metrics.start()
        emit(logger, Event.ROUTER_STARTED, name=self._settings.name, port=self.port)

    def drain(self) -> None:
        """Shut down gracefully: refuse new and queued requests, let running ones end, then stop.

        A second call waits for the first.
        """
        if self._drained is not None:
            self._drained.wait()
            return
        self._drained = GeventEvent()
        emit(logger, Event.ROUTER_STOPPING, in_flight=len(self._in_flight))
        deadline = self._clock.now() + self._settings.drain_seconds
        self._pipeline.stop()
        self.components.members.leave()
        self._in_flight.wait_idle(deadline)
        emit(logger, Event.ROUTER_STOPPED, in_flight=len(self._in_flight))
        self.stop()
        self._drained.set()

    def stop(self) -> None:
        """Stop at once, without waiting for requests in flight."""
        self.operators.stop()
        self.metrics.stop()
        self._server.stop()
        components = self.components
        components.distribution.stop()
        if components.orders is not None:
            components.orders.stop()
        components.policy.stop()
        components.claims.stop()
        if components.vm_list_poller is not None:
            components.vm_list_poller.stop()
        if components.table_sync is not None:
            components.table_sync.stop()
        for component in (
            components.targets,
            components.follower,
            components.members,
            components.peers,
        ):
            component.stop()


def make_platform(settings: Settings) -> Platform:
    """Connect to the external systems that the settings name."""
    clock = SystemClock()
    log = connect_log(settings.log_service)
    vm_list = connect_vm_list(settings.vm_list) if settings.vm_list else None
    address = settings.weight_store
    return Platform(
        clock=clock,
        log=log,
        engine=make_http_engine(clock),
        vm_list=vm_list,
        weight_store=connect_weight_store(address, clock) if address else None,
    )


def make_application(
    settings: Settings, platform: Platform | None = None, sockets: PeerSockets | None = None
) -> Application:
    """Create and wire the components of a router; without ``sockets`` those for peers are bound."""
    platform = platform or make_platform(settings)
    clock = platform.clock
    fleet = make_fleet_components(settings, clock, platform.vm_list, sockets)
    follower = ConfigFollower(platform.log, clock)
    targets = make_known_targets(clock, platform.engine, fleet.members, fleet.peers)
    if fleet.vm_list_poller is not None:
        fleet.vm_list_poller.subscribe(targets.apply_vm_list)
    components = RouterComponents(
        members=fleet.members,
        peers=fleet.peers,
        traffic=fleet.traffic,
        vm_list_poller=fleet.vm_list_poller,
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
    stream_resumer = StreamResumer(
        clock=clock,
        follower=follower,
        engine=platform.engine,
        tokens=StreamTokens(settings.fleet_secret),
        pending=PendingResumes(
            clock, components.peers, settings.name, seconds=settings.resume_seconds
        ),
    )
    meters = RequestMetrics(clock)
    pipeline = RequestPipeline(
        clock=clock,
        follower=components.follower,
        policy=components.policy,
        targets=components.targets,
        claims=components.claims,
        engine=platform.engine,
        estimates=CostEstimates(),
        journal=components.journal,
        stream_resumer=stream_resumer,
        meters=meters,
    )
    RefusalNotifier(clock, components.members, components.peers, pipeline.backlog)
    components.orders = make_order_controller(
        clock=clock,
        log=platform.log,
        engine=platform.engine,
        members=components.members,
        targets=components.targets,
        weights=platform.weight_store,
        backlog=_join_backlogs(pipeline, components.policy),
    )
    callers = CallersApp(
        clock=clock,
        follower=follower,
        pipeline=pipeline,
        stream_resumer=stream_resumer,
        meters=meters,
    )
    return Application(settings, platform, components, callers, pipeline=pipeline, meters=meters)


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


def _join_backlogs(pipeline: RequestPipeline, policy: SharePolicy) -> BacklogView:
    if isinstance(policy, FleetPolicy):
        return CombinedBacklog((pipeline.backlog, policy))
    return pipeline.backlog
