"""The application: one router, wired."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gevent.pywsgi import WSGIServer

from loomyard.clock import SystemClock
from loomyard.events import Event, emit
from loomyard.platform.http_log import connect_log
from loomyard_router.callers.app import CallersApp
from loomyard_router.configuration.follower import ConfigFollower
from loomyard_router.requests.estimates import CostEstimates
from loomyard_router.requests.serving import Serving
from loomyard_router.shares.fifo import make_fifo_policy
from loomyard_router.shares.local import make_local_policy
from loomyard_router.targets.http_engine import make_http_engine

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.platform.engine import Engine
    from loomyard.platform.log_service import LogService
    from loomyard_router.settings import Settings
    from loomyard_router.shares.policy import SharePolicy

logger = logging.getLogger(__name__)


class Application:
    """One router."""

    def __init__(
        self,
        settings: Settings,
        *,
        follower: ConfigFollower,
        policy: SharePolicy,
        callers: CallersApp,
    ) -> None:
        self._settings = settings
        self._follower = follower
        self._policy = policy
        host, _, port = settings.listen.rpartition(":")
        self._server = WSGIServer((host, int(port)), callers, log=None, error_log=logger)

    @property
    def port(self) -> int:
        return self._server.server_port

    @property
    def follower(self) -> ConfigFollower:
        return self._follower

    def start(self) -> None:
        """Start to follow the configuration and to serve callers."""
        self._follower.subscribe(self._policy.reconfigure)
        self._follower.start()
        self._policy.start()
        self._server.start()
        emit(logger, Event.ROUTER_STARTED, name=self._settings.name, port=self.port)

    def stop(self) -> None:
        """Stop at once."""
        self._server.stop()
        self._policy.stop()
        self._follower.stop()


def make_application(
    settings: Settings,
    *,
    clock: Clock | None = None,
    log: LogService | None = None,
    engine: Engine | None = None,
) -> Application:
    """Wire a router from its settings; parts given replace those of the settings."""
    clock = clock or SystemClock()
    log = log or connect_log(settings.log_service)
    follower = ConfigFollower(log, clock)
    policy = _make_policy(settings, clock)
    serving = Serving(
        clock=clock,
        follower=follower,
        policy=policy,
        engine=engine or make_http_engine(clock),
        estimates=CostEstimates(),
    )
    callers = CallersApp(clock=clock, follower=follower, serving=serving)
    return Application(settings, follower=follower, policy=policy, callers=callers)


def _make_policy(settings: Settings, clock: Clock) -> SharePolicy:
    if settings.policy == "fifo":
        return make_fifo_policy(clock)
    return make_local_policy(clock, position=settings.position, routers=settings.routers)
