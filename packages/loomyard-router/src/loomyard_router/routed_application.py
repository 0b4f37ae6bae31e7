"""The application of a router on a platform that publishes routes and announces targets."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
from attrs import field, frozen
from result import Result

from loomyard.clock import Clock
from loomyard.events import Event, emit
from loomyard_router.admission.assembly import make_admission
from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.departure_terms import SEND_SECONDS
from loomyard_router.announced.evacuated_data_centres import EvacuatedDataCentres
from loomyard_router.announced.leaving_exchange import LeavingExchange
from loomyard_router.announced.order_rollback_policy import OrderRollbackPolicy
from loomyard_router.announced.target_feed import TargetFeed
from loomyard_router.announced.target_metrics import TargetMetrics
from loomyard_router.announced.target_registry import TargetRegistry
from loomyard_router.announced.target_rollback_policy import TargetRollbackPolicy
from loomyard_router.answer_wait import run_loop_pass
from loomyard_router.callers.in_flight import InFlight
from loomyard_router.callers.problems import encode_empty_answer
from loomyard_router.crashes.coalesced_probe import CoalescedProbe
from loomyard_router.crashes.crash_archive import CrashArchive
from loomyard_router.crashes.crash_exchange import CrashExchange
from loomyard_router.crashes.crash_guard import CrashGuard
from loomyard_router.crashes.crash_ledger import CrashLedger
from loomyard_router.crashes.crash_persister import CrashPersister
from loomyard_router.crashes.liveness_probe import LivenessProbe
from loomyard_router.crashes.part_gate import PartGate
from loomyard_router.crashes.suspect import is_part, is_request
from loomyard_router.feeds.fan_out_consumer import FanOutConsumer
from loomyard_router.feeds.feed import Feed
from loomyard_router.feeds.feed_exchange import FeedExchange
from loomyard_router.feeds.feed_follower import FeedFollower
from loomyard_router.feeds.guard_metrics import GuardMetrics
from loomyard_router.feeds.read_guard import ReadGuard
from loomyard_router.feeds.read_lease import ReadLease, make_read_lease
from loomyard_router.feeds.store_era import StoreEra
from loomyard_router.feeds.store_times import StoreTimes
from loomyard_router.feeds.unreadable_entries import UnreadableEntries
from loomyard_router.feeds.unreadable_entry import UnreadableEntry
from loomyard_router.fleet_components import make_fleet_components
from loomyard_router.lag.lag_metrics import LagMetrics
from loomyard_router.lag.lag_monitor import LagMonitor
from loomyard_router.lag.lagging_routers import LaggingRouters
from loomyard_router.memory.metrics import MemoryMetrics
from loomyard_router.memory.report import report_limits
from loomyard_router.memory.reserves import DescriptorReserve, MemoryReserve
from loomyard_router.memory.shortage_monitor import ShortageMonitor
from loomyard_router.metrics.lazy_server import make_lazy_metrics
from loomyard_router.metrics.request_metrics import RequestMetrics
from loomyard_router.offload.caller_listeners import CallerListeners
from loomyard_router.offload.offload_candidates import OffloadCandidates
from loomyard_router.offload.offload_share import OffloadShare
from loomyard_router.offload.offloader import LOST
from loomyard_router.planned_stop import PlannedStop
from loomyard_router.ready_listener import ReadyListener
from loomyard_router.requests.retry_budget import RetryBudget
from loomyard_router.routed.app import RoutedApp
from loomyard_router.routed.attempt_sender import AttemptSender
from loomyard_router.routed.body_budget import BodyBudget
from loomyard_router.routed.connection_pool import ConnectionPool
from loomyard_router.routed.early_refusal import EarlyRefusal
from loomyard_router.routed.event_coalescer import EventCoalescer
from loomyard_router.routed.forwarder import Forwarder
from loomyard_router.routed.http_codecs import CallerCodec, TargetCodec
from loomyard_router.routed.loop_lag import LoopLag
from loomyard_router.routed.open_requests import OpenRequests
from loomyard_router.routed.unread_answer_metrics import UnreadAnswerMetrics
from loomyard_router.routed.unread_answers import UnreadAnswers
from loomyard_router.routes.route_table import RouteTable
from loomyard_router.routes.route_table_consumer import RouteTableConsumer
from loomyard_router.routes.route_table_holder import RouteTableHolder
from loomyard_router.settings import EXAMPLE_SECRET, FLEET_SECRET_VARIABLE, Settings
from loomyard_router.standstill_watch import StandstillWatch
from loomyard_router.startup.routed_sockets import RoutedSockets, unbound_sockets
from loomyard_router.streams.stream_origins import make_stream_origins

if TYPE_CHECKING:

    from loomyard_router.routed_settings import RoutedSettings

logger = logging.getLogger(__name__)

# A connection may be closed if no request came for so long; a new one brings its first at once.
IDLE_SECONDS = 0.3
# For the answers to callers whose requests are ended.
LAST_ANSWERS_SECONDS = 0.1
# Between two checks of what is open in a planned stop.
CHECK_SECONDS = 0.05
MILLISECONDS = 1000
# Fraction of the fleet's retry slack that is divided among its routers.
SLACK_FRACTION = 0.5


@frozen(kw_only=True)
class RoutedPlatform:
    """What an adapter provides: feeds and decoders, codecs, readiness path, crash archives."""

    clock: Clock
    tables: Feed
    table_key: str
    decode_table: Callable[[bytes], Result[RouteTable, UnreadableEntry]]
    find_evacuated_data_centre: Callable[[str], str | None]
    targets: Feed
    decode_target: Callable[[str, bytes], Result[AnnouncedTarget, UnreadableEntry]]
    caller_codec: CallerCodec
    target_codec: TargetCodec
    ready_path: str
    crashes: CrashArchive | None = None
    part_crashes: CrashArchive | None = None
    era: StoreEra = field(factory=StoreEra)


class RoutedApplication:
    """One router on such a platform: its listeners and components, their start and their stop."""

    def __init__(
        self,
        settings: RoutedSettings,
        platform: RoutedPlatform,
        sockets: RoutedSockets | None = None,
    ) -> None:
        sockets = sockets or unbound_sockets(settings)
        clock = platform.clock
        self._settings = settings
        self._clock = clock
        self._planned_stop = PlannedStop(clock)
        self._standstill_watch = StandstillWatch(clock)
        self.refusing = False
        rng = random.Random()
        self.holder = RouteTableHolder(platform.decode_table)
        target_times = StoreTimes()
        self.registry = TargetRegistry(
            clock,
            first_start=settings.first_start,
            times=target_times,
            departures=settings.departures,
        )
        self._evacuated = EvacuatedDataCentres(platform.find_evacuated_data_centre)
        self._evacuated.subscribe(self.registry.set_evacuated)
        self._unreadable = UnreadableEntries()
        self._tables = FeedFollower(
            platform.tables,
            FanOutConsumer(
                (
                    self._evacuated,
                    RouteTableConsumer(self.holder, platform.table_key, self._unreadable),
                )
            ),
            clock,
            rng,
            min_read_interval=settings.feed_pace,
            era=platform.era,
            rollback_policy=OrderRollbackPolicy(platform.find_evacuated_data_centre),
            lease=self._make_lease(settings.config_apply),
        )
        self._targets = FeedFollower(
            platform.targets,
            TargetFeed(self.registry, platform.decode_target, self._unreadable),
            clock,
            rng,
            min_read_interval=settings.feed_pace,
            era=platform.era,
            rollback_policy=TargetRollbackPolicy(platform.decode_target),
            times=target_times,
            lease=self._make_lease(settings.departures.drain),
            is_hurried=lambda: self.registry.awaits_returns,
        )
        self._read_guard = ReadGuard(clock, (self._tables, self._targets))
        self._pool = ConnectionPool(clock)
        self.fleet = make_fleet_components(_fleet_settings(settings), clock, sockets=sockets.peers)
        self.members, peers = self.fleet.members, self.fleet.peers
        self._loop_lag = LoopLag(clock, max_lag=settings.most_lag)
        self._lag_monitor = LagMonitor(clock, threshold=settings.most_lag)
        self._loop_lag.subscribe(self._lag_monitor.record)
        self._lagging_routers = LaggingRouters(clock, self.members, self._lag_monitor)
        self._feed_exchange = FeedExchange(
            clock=clock,
            members=self.members,
            peers=peers,
            followers=(self._tables, self._targets),
            rng=rng,
            fitness=self._lagging_routers,
        )
        self._admission = make_admission(
            clock=clock,
            registry=self.registry,
            holder=self.holder,
            members=self.members,
            peers=peers,
            window=settings.share_window,
            rng=rng,
            lag=lambda: self._loop_lag.seconds,
            fitness=self._lagging_routers,
        )
        self._leaving_exchange = LeavingExchange(clock, self.registry, self.members)
        self._crash_ledger = CrashLedger(clock)
        self._crash_exchange = CrashExchange(
            clock=clock, ledger=self._crash_ledger, members=self.members, peers=peers, rng=rng
        )
        archives = ((platform.crashes, is_request), (platform.part_crashes, is_part))
        self._crash_persisters = [
            CrashPersister(
                clock=clock,
                ledger=self._crash_ledger,
                archive=archive,
                members=self.members,
                stores=stores,
            )
            for archive, stores in archives
            if archive is not None
        ]
        liveness_probe = LivenessProbe(
            clock=clock,
            registry=self.registry,
            pool=self._pool,
            codec=platform.target_codec,
            holder=self.holder,
        )
        self._probe = CoalescedProbe(
            probe=liveness_probe.has_ended, connect=liveness_probe.has_refused
        )
        self._crash_guard = CrashGuard(
            clock,
            self._crash_ledger,
            self._probe,
            PartGate(clock, self._crash_ledger, self.members),
            rng,
        )
        self._origins = make_stream_origins(
            clock=clock,
            registry=self.registry,
            holder=self.holder,
            members=self.members,
            peers=peers,
            hint=self._admission.retry_hint,
            rng=rng,
        )
        self.body_budget = BodyBudget(settings.body_bytes, rng)
        self.unread_answers = UnreadAnswers(clock, self.body_budget)
        coalescer = EventCoalescer(
            clock=clock, max_delay=settings.event_seconds, lag=lambda: self._loop_lag.seconds
        )
        forwarder = Forwarder(
            clock=clock,
            gate=self._admission.gate,
            sender=AttemptSender(
                clock,
                self.registry,
                self._pool,
                platform.target_codec,
                self._read_guard,
                self._targets.lease,
            ),
            health=self._admission.health,
            registry=self.registry,
            guard=self._crash_guard,
            retry_budget=RetryBudget(
                per_request=settings.retries.ratio,
                max_tokens=self._retry_slack,
            ),
            coalescer=coalescer,
            unread_answers=self.unread_answers,
            origins=self._origins,
            planned_stop=self._planned_stop,
            read_guard=self._read_guard,
        )
        meters = RequestMetrics(clock)
        self._open_requests = OpenRequests(clock)
        self.shortages = ShortageMonitor(
            clock, (MemoryReserve(), DescriptorReserve()), (self._pool.close_idle, self._close_idle)
        )
        self.app = RoutedApp(
            clock=clock,
            meters=meters,
            open_requests=self._open_requests,
            run_times=self._planned_stop.run_times,
            holder=self.holder,
            codec=platform.caller_codec,
            forwarder=forwarder,
            closing_connections=lambda: self.stopping or self._listener.over_connection_limit,
            refusing_requests=lambda: self._planned_stop.is_refusing,
            overloaded=lambda: self._loop_lag.overloaded,
            short=lambda: self.shortages.is_short,
            body_budget=self.body_budget,
            read_guard=self._read_guard,
        )
        self._in_flight = InFlight(clock)
        self.listeners = CallerListeners(
            settings,
            self.app,
            sockets,
            clock=clock,
            holder=self.holder,
            in_flight=self._in_flight,
            early_refusal=EarlyRefusal(
                clock=clock,
                holder=self.holder,
                codec=platform.caller_codec,
                backlog=self._admission.backlog,
                overloaded=lambda: self._loop_lag.overloaded,
                short=lambda: self.shortages.is_short,
                retry_hint=self._admission.retry_hint,
                meters=meters,
            ),
            candidates=OffloadCandidates(
                clock=clock, members=self.members, fitness=self._lagging_routers, rng=rng
            ),
            share=OffloadShare(clock, lambda: self._admission.backlog.is_router_lagging, rng),
            pause=lambda: coalescer.seconds,
            lost_answer=encode_empty_answer(*platform.caller_codec.encode_refusal(LOST)),
        )
        self._listener = self.listeners.front
        self._ready = ReadyListener(sockets.ready, platform.ready_path, lambda: self.ready)
        self._metrics = make_lazy_metrics(
            settings.metrics_listen,
            clock,
            lambda: self.ready,
            requests=meters,
            traffic=self.fleet.traffic,
            in_flight=lambda: self.in_flight,
            feeds=self._feed_exchange.states,
            targets=TargetMetrics(
                evacuated=lambda: len(self._evacuated.names),
                cold=self._admission.cold_targets.count,
                suspected=self._crash_ledger.count_suspected,
                blocked=self._crash_ledger.count_blocked,
                blocked_parts=self._crash_ledger.count_blocked_parts,
                restarts=lambda: self.registry.restarts,
                backing_off=lambda: self.registry.notices.backing_off,
                leaving_count=lambda: self.registry.notices.leaving_count,
                backoff_requests=lambda: self.registry.notices.backoff_requests,
                unreadable=lambda: self._unreadable.counts,
            ),
            slots=self._admission.slot_metrics,
            bodies=self.body_budget.metrics,
            unread=UnreadAnswerMetrics(
                buffered=lambda: self.unread_answers.buffered,
                aborted=lambda: self.unread_answers.aborted,
            ),
            shares=self._admission.ledger.metrics,
            streams=self._origins.metrics,
            lag=LagMetrics(
                is_lagging=lambda: self._lag_monitor.is_lagging,
                lagging_routers=lambda: len(self._lagging_routers.names),
                offloaded=lambda: self.listeners.offloader.total,
                offloaded_open=lambda: len(self.listeners.offloader),
            ),
            memory=MemoryMetrics(
                shortages=lambda: self.shortages.total, is_short=lambda: self.shortages.is_short
            ),
            guard=GuardMetrics(
                waits=lambda: self._read_guard.waits,
                confirmed=lambda: self._read_guard.confirmed,
                unconfirmed=lambda: self._read_guard.unconfirmed,
            ),
        )
        self.registry.subscribe(self._retain_listed)
        self.holder.subscribe(
            lambda table: self._planned_stop.run_times.retain(table.find_route_names())
        )

    @property
    def port(self) -> int:
        return self._listener.server_port

    @property
    def ready_port(self) -> int:
        return self._ready.server_port

    @property
    def ready(self) -> bool:
        has_read = self.holder.table is not None and self.registry.ready
        return not self.stopping and has_read and not self.shortages.is_lasting

    @property
    def stopping(self) -> bool:
        return self._planned_stop.is_under_way

    @property
    def in_flight(self) -> int:
        return len(self._in_flight)

    def start(self) -> None:
        """Start following the feeds and serving callers."""
        if any(secret.startswith(EXAMPLE_SECRET) for secret in self._settings.fleet_secret):
            emit(logger, Event.EXAMPLE_SECRET_USED, setting=FLEET_SECRET_VARIABLE)
        report_limits(self._settings.memory_mb)
        self.shortages.start()
        components = (
            self.fleet.peers,
            self.members,
            self._lagging_routers,
            self._admission,
            self._feed_exchange,
            self._leaving_exchange,
            self._crash_exchange,
            self._origins,
        )
        for component in components:
            component.start()
        if self.fleet.table_sync is not None:
            self.fleet.table_sync.start()
        for persister in self._crash_persisters:
            persister.start()
        self._tables.start()
        self._targets.start()
        self.listeners.start()
        self._standstill_watch.start()
        self._ready.start()
        self._metrics.start()
        emit(logger, Event.ROUTER_STARTED, name=self._settings.name, listen=self._settings.listen)

    def adopt(self, settings: RoutedSettings) -> None:
        """Adopt changed settings: grace and retry slack at once, others at the next start."""
        changed = [
            name
            for name in attrs.asdict(settings, recurse=False)
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        if changed:
            self._settings = settings
            emit(logger, Event.SETTINGS_ADOPTED, changed=",".join(changed))

    def drain(self) -> None:
        """Shut down gracefully: fail readiness, finish requests within the grace, then stop."""
        stop = self._planned_stop
        called_at = self._standstill_watch.find_earliest()
        stop.begin(called_at, self._settings.grace)
        emit(
            logger,
            Event.ROUTER_STOPPING,
            in_flight=len(self._in_flight),
            waited_ms=round((self._clock.now() - called_at) * MILLISECONDS),
        )
        self.members.leave()
        self._origins.hand_over()
        while not stop.is_refusing:
            self._open_requests.refuse_unsent(stop.may_send)
            self._clock.sleep(min(CHECK_SECONDS, max(0.0, stop.refuse_from - self._clock.now())))
        # Running requests may end within the grace; new ones are refused, to be sent elsewhere.
        self.listeners.close_listeners()
        self.refusing = True
        while self.listeners.open_count and self._clock.now() < stop.end_at:
            self.listeners.close_idle(idle_seconds=IDLE_SECONDS)
            self._open_requests.refuse_unsent(stop.may_send)
            self._clock.sleep(CHECK_SECONDS)
        # Answers that came while this router stood still wait in its sockets.
        run_loop_pass(self._clock)
        self._open_requests.log_cut()
        self._open_requests.withdraw()
        offloaded = len(self.listeners.offloader)
        self.listeners.offloader.end_requests()
        self._in_flight.wait_idle(self._clock.now() + LAST_ANSWERS_SECONDS)
        emit(
            logger,
            Event.ROUTER_STOPPED,
            in_flight=len(self._in_flight),
            offloaded=offloaded,
            late_ms=round(max(0.0, self._clock.now() - stop.end_at) * MILLISECONDS),
            **self._open_requests.count_stages(),
        )
        self.stop()

    def stop(self) -> None:
        """Stop at once, without waiting for requests in flight."""
        self.shortages.stop()
        self._standstill_watch.stop()
        self.listeners.stop()
        self._ready.stop()
        self._metrics.stop()
        self._tables.stop()
        self._targets.stop()
        if self.fleet.table_sync is not None:
            self.fleet.table_sync.stop()
        for persister in self._crash_persisters:
            persister.stop()
        components = (
            self._origins,
            self._crash_exchange,
            self._feed_exchange,
            self._admission,
            self._lagging_routers,
            self.members,
            self.fleet.peers,
        )
        for component in components:
            component.stop()

    def _close_idle(self) -> None:
        self.listeners.close_idle(idle_seconds=IDLE_SECONDS)

    def _make_lease(self, bound: float) -> ReadLease:
        contact = self._settings.departures.contact
        return make_read_lease(self._clock, bound=bound, contact=contact, margin=SEND_SECONDS)

    def _retry_slack(self) -> float:
        return 1.0 + SLACK_FRACTION * self._settings.retries.slack / self._live_routers()

    def _live_routers(self) -> int:
        return len(self.members.live())

    def _retain_listed(self) -> None:
        known = {target.incarnation for target in self.registry.listed()}
        self._pool.retain(known)
        self._probe.retain(known)
        self._crash_guard.update_known(known)
        self._admission.retain(known)


def _fleet_settings(settings: RoutedSettings) -> Settings:
    return Settings(
        name=settings.name,
        data_centre=settings.data_centre,
        peer_listen=settings.peer_listen,
        peers=settings.seeds,
        fleet_secret=settings.fleet_secret,
    )
