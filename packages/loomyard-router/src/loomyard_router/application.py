"""The application: one router, wired."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING

from gevent.event import Event as GeventEvent

from loomyard.clock import SystemClock
from loomyard.events import Event, emit
from loomyard.platform.http_log import connect_log
from loomyard_router.callers.app import CallersApp
from loomyard_router.callers.handler import CallerServer
from loomyard_router.callers.in_flight import InFlight
from loomyard_router.claims.no_claims import NoClaims
from loomyard_router.configuration.follower import ConfigFollower
from loomyard_router.members.membership import Member, SoleMembership
from loomyard_router.parts import Parts, Platform
from loomyard_router.peers.no_peers import NoPeers
from loomyard_router.requests.estimates import CostEstimates
from loomyard_router.requests.journal import Journal
from loomyard_router.requests.serving import Serving
from loomyard_router.shares.fifo import make_fifo_policy
from loomyard_router.shares.local import make_local_policy
from loomyard_router.targets.directory import make_configured_targets
from loomyard_router.targets.http_engine import make_http_engine

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.settings import Settings
    from loomyard_router.shares.policy import SharePolicy

logger = logging.getLogger(__name__)

INCARNATION_BITS = 48


class Application:
    """One router."""

    def __init__(
        self,
        settings: Settings,
        parts: Parts,
        callers: CallersApp,
        *,
        clock: Clock,
        serving: Serving,
    ) -> None:
        self.parts = parts
        self.callers = callers
        self._settings = settings
        self._clock = clock
        self._serving = serving
        self._in_flight = InFlight(clock)
        self._drained: GeventEvent | None = None
        host, _, port = settings.listen.rpartition(":")
        self._server = CallerServer(
            (host, int(port)), callers, log=None, error_log=logger, in_flight=self._in_flight
        )

    @property
    def port(self) -> int:
        return self._server.server_port

    def start(self) -> None:
        """Start to follow the configuration and to serve callers."""
        parts = self.parts
        parts.follower.subscribe(parts.targets.reconfigure)
        parts.follower.subscribe(parts.policy.reconfigure)
        for part in (parts.peers, parts.members, parts.follower, parts.targets):
            part.start()
        parts.claims.start()
        parts.policy.start()
        self._server.start()
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
        self._serving.stop()
        self.parts.members.leave()
        self._in_flight.wait_idle(deadline)
        emit(logger, Event.ROUTER_STOPPED, in_flight=len(self._in_flight))
        self.stop()
        self._drained.set()

    def stop(self) -> None:
        """Stop at once."""
        self._server.stop()
        parts = self.parts
        parts.policy.stop()
        parts.claims.stop()
        for part in (parts.targets, parts.follower, parts.members, parts.peers):
            part.stop()


def make_platform(settings: Settings) -> Platform:
    """Connect to the outside systems that the settings name."""
    clock = SystemClock()
    log = connect_log(settings.log_service)
    return Platform(clock=clock, log=log, engine=make_http_engine(clock))


def make_application(settings: Settings, platform: Platform | None = None) -> Application:
    """Wire a router from its settings."""
    platform = platform or make_platform(settings)
    clock = platform.clock
    own = Member(
        name=settings.name,
        incarnation=secrets.randbits(INCARNATION_BITS),
        address="",
        data_centre=settings.data_centre,
    )
    parts = Parts(
        members=SoleMembership(own),
        peers=NoPeers(),
        follower=ConfigFollower(platform.log, clock),
        targets=make_configured_targets(),
        policy=_make_policy(settings, platform),
        claims=NoClaims(),
        journal=Journal(clock),
    )
    serving = Serving(
        clock=clock,
        follower=parts.follower,
        policy=parts.policy,
        targets=parts.targets,
        claims=parts.claims,
        engine=platform.engine,
        estimates=CostEstimates(),
        journal=parts.journal,
    )
    callers = CallersApp(clock=clock, follower=parts.follower, serving=serving)
    return Application(settings, parts, callers, clock=clock, serving=serving)


def _make_policy(settings: Settings, platform: Platform) -> SharePolicy:
    if settings.policy == "fifo":
        return make_fifo_policy(platform.clock)
    return make_local_policy(platform.clock, position=settings.position, routers=settings.routers)
