"""Fixture: two connected routers, of which the first one lags."""

from __future__ import annotations

import math
import os
import socket

from loomyard_router.admission.backlog_limit import LAG_THRESHOLD_SECONDS, LagAwareLimit
from loomyard_router.routed_application import RoutedApplication
from loomyard_router.routed_settings import RetryTerms, RoutedSettings
from test_loomyard_router.test_crashing.routers_case import SECRET
from test_loomyard_router.test_routed.routed_case import RoutedCase

PEER_PORT, OFFLOAD_PORT = 7400, 7401


class OffloadCase(RoutedCase):
    """Routers on loopback addresses of their own, as their ports follow a rule."""

    count = 2

    def setUp(self) -> None:
        super().setUp()
        # The router of ``RoutedCase`` is not connected to others, so it is replaced.
        self.router.stop()
        self.routers: list[RoutedApplication] = []
        for number in range(1, 1 + self.count):
            self.start_router(number)
        self.router = self.routers[0]

    def start_router(self, number: int, **changes: object) -> RoutedApplication:
        """Start a router and wait until all know it."""
        pid = os.getpid()
        host = f"127.{64 + (pid >> 16) % 64}.{(pid >> 8) % 256}.{(pid + 16 * number) % 254 + 1}"
        fields = {
            "name": f"router-{number}",
            "listen": "127.0.0.1:0",
            "ready_listen": "127.0.0.1:0",
            "store": "",
            "peer_listen": f"{host}:{PEER_PORT}",
            "offload_listen": f"{host}:{OFFLOAD_PORT}",
            "seeds": tuple(one.members.own.address for one in self.routers[:1]),
            "fleet_secret": SECRET,
            "feed_pace": 0.0,
            # Results must not depend on the load of the host.
            "most_lag": math.inf,
            "event_seconds": 0.2,
            "retries": RetryTerms(ratio=0.2, window=10.0, slack=2000.0),
        }
        router = RoutedApplication(RoutedSettings(**fields | changes), self.platform())
        router.start()
        self.addCleanup(router.stop)
        self.routers.append(router)
        self.until(
            lambda: all(len(one.members.live()) == len(self.routers) for one in self.routers)
        )
        return router

    def publish(self, *routes: object, version: int = 1, **changes: object) -> None:
        super().publish(*routes, version=version, **changes)  # type: ignore[arg-type]
        self.until(lambda: all(one.holder.version >= version and one.ready for one in self.routers))

    def let_lag(self, router: RoutedApplication) -> None:
        """Let a router lag for a while, though not so much that it refuses."""
        router.listeners.offloader._share.share = 1.0
        router._admission.backlog._limit = LagAwareLimit(lambda: 2 * LAG_THRESHOLD_SECONDS)

    def ended(self, router: RoutedApplication) -> int:
        """Return how many requests a router has served or refused."""
        return sum(router.app._meters.codes.values())

    def connect(self) -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.router.port), timeout=10.0)
        self.addCleanup(sock.close)
        return sock
