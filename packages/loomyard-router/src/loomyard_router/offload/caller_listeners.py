"""The listeners for callers of this router, and for those that other routers pass on."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from loomyard_router.offload.offload_listener import OffloadListener
from loomyard_router.offload.offloader import Offloader
from loomyard_router.routed.listener import RoutedListener

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.callers.in_flight import InFlight
    from loomyard_router.offload.offload_candidates import OffloadCandidates
    from loomyard_router.offload.offload_share import OffloadShare
    from loomyard_router.routed.app import RoutedApp
    from loomyard_router.routed.early_refusal import EarlyRefusal
    from loomyard_router.routed_settings import RoutedSettings
    from loomyard_router.routes.route_table_holder import RouteTableHolder
    from loomyard_router.startup.routed_sockets import RoutedSockets

logger = logging.getLogger(__name__)

# One of so many connections of callers may be passed on; each of these takes two descriptors.
OFFLOADED_DIVISOR = 4


class CallerListeners:
    """Accept connections at both addresses; without an offload socket none is passed on."""

    def __init__(
        self,
        settings: RoutedSettings,
        app: RoutedApp,
        sockets: RoutedSockets,
        *,
        clock: Clock,
        holder: RouteTableHolder,
        in_flight: InFlight,
        early_refusal: EarlyRefusal,
        candidates: OffloadCandidates,
        share: OffloadShare,
        pause: Callable[[], float],
        lost_answer: bytes,
    ) -> None:
        options: dict[str, Any] = {
            "log": None,
            "error_log": logger,
            "clock": clock,
            "in_flight": in_flight,
            "early_refusal": early_refusal,
            "limits": holder.caller_limits,
            "max_connections": settings.most_connections,
        }
        self.offloader = Offloader(
            clock=clock,
            share=share,
            candidates=candidates,
            in_flight=in_flight,
            max_connections=settings.most_connections // OFFLOADED_DIVISOR,
            table_version=lambda: holder.version,
            pause=pause,
            lost_answer=lost_answer,
        )
        self.offloaded: OffloadListener | None = None
        if sockets.offload is not None:
            self.offloaded = OffloadListener(sockets.offload, app, **options)
            options["offloader"] = self.offloader
        self.front = RoutedListener(sockets.front, app, **options)

    @property
    def _all(self) -> list[RoutedListener]:
        return [self.front] if self.offloaded is None else [self.front, self.offloaded]

    @property
    def open_count(self) -> int:
        """Return how many accepted connections are open."""
        return sum(listener.open_count for listener in self._all)

    def start(self) -> None:
        """Start to accept."""
        for listener in self._all:
            listener.start()

    def close_listeners(self) -> None:
        """Accept no more connections; open ones go on."""
        for listener in self._all:
            listener.close_listener()

    def close_idle(self, *, idle_seconds: float) -> None:
        """Close the connections without a request, read or unread, for so long."""
        for listener in self._all:
            listener.close_idle(idle_seconds=idle_seconds)

    def stop(self) -> None:
        """Close everything at once."""
        for listener in self._all:
            listener.stop()
        self.offloader.stop()
