"""Metrics listener that loads the exposition with the first request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from gevent.pool import Pool

from loomyard.util.addresses import split_address
from loomyard.util.tcp import NoDelayServer
from loomyard_router.startup.retried_server import RetriedServer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from loomyard.clock import Clock
    from loomyard_router.admission.share_metrics import ShareMetrics
    from loomyard_router.admission.slot_metrics import SlotMetrics
    from loomyard_router.announced.target_metrics import TargetMetrics
    from loomyard_router.feeds.feed_state import FeedState
    from loomyard_router.feeds.guard_metrics import GuardMetrics
    from loomyard_router.lag.lag_metrics import LagMetrics
    from loomyard_router.memory.metrics import MemoryMetrics
    from loomyard_router.metrics.request_metrics import RequestMetrics
    from loomyard_router.peers.traffic import TrafficCounters
    from loomyard_router.routed.body_metrics import BodyMetrics
    from loomyard_router.routed.unread_answer_metrics import UnreadAnswerMetrics
    from loomyard_router.streams.stream_metrics import StreamMetrics


class LazyMetricsServer:
    """Serves metrics; imports the exposition on demand, since it takes some megabytes of memory.

    Without an address it does not listen.
    """

    def __init__(self, address: str, clock: Clock, make_server: Callable[[], Any]) -> None:
        self._make_metrics_server = make_server
        self._metrics_server: Any = None
        self._listener: RetriedServer | None = None
        if address:
            server = NoDelayServer(split_address(address), self._serve, log=None, spawn=Pool())
            self._listener = RetriedServer(server, address, clock)

    def start(self) -> None:
        """Start to accept connections, or to try."""
        if self._listener is not None:
            self._listener.start()

    def stop(self) -> None:
        """Stop to accept connections."""
        if self._listener is not None:
            self._listener.stop()

    def _serve(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        if self._metrics_server is None:
            self._metrics_server = self._make_metrics_server()
        return self._metrics_server.serve(environ, start_response)


def make_lazy_metrics(
    address: str,
    clock: Clock,
    ready: Callable[[], bool],
    *,
    requests: RequestMetrics,
    traffic: TrafficCounters,
    in_flight: Callable[[], int],
    feeds: Callable[[], Iterable[FeedState]],
    targets: TargetMetrics,
    slots: SlotMetrics,
    bodies: BodyMetrics,
    unread: UnreadAnswerMetrics,
    shares: ShareMetrics,
    streams: StreamMetrics,
    lag: LagMetrics,
    memory: MemoryMetrics,
    guard: GuardMetrics,
) -> LazyMetricsServer:
    """Make the metrics listener; without an address it does not listen."""

    def make() -> Any:
        from loomyard_router.metrics.exposition import RouterCollector
        from loomyard_router.metrics.server import MetricsServer

        return MetricsServer(
            "",
            ready,
            RouterCollector(
                requests,
                traffic,
                in_flight,
                feeds,
                targets,
                slots,
                bodies,
                unread,
                shares,
                streams,
                lag,
                memory,
                guard,
            ),
        )

    return LazyMetricsServer(address, clock, make)
