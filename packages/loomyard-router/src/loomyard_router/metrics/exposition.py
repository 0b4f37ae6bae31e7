"""Metrics of a router in the exposition format of Prometheus."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector

from loomyard_router.admission.share_metrics import ShareMetrics
from loomyard_router.admission.slot_metrics import SlotMetrics
from loomyard_router.announced.target_metrics import TargetMetrics
from loomyard_router.feeds.guard_metrics import GuardMetrics
from loomyard_router.lag.lag_metrics import LagMetrics
from loomyard_router.memory.metrics import MemoryMetrics
from loomyard_router.metrics.key_histograms import UNITS_PER_SECOND
from loomyard_router.routed.body_metrics import BodyMetrics
from loomyard_router.routed.unread_answer_metrics import UnreadAnswerMetrics
from loomyard_router.streams.stream_metrics import StreamMetrics
from loomyard_router.supervision.failures import failure_counts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from prometheus_client.metrics_core import Metric

    from loomyard_router.feeds.feed_state import FeedState
    from loomyard_router.metrics.request_metrics import RequestMetrics
    from loomyard_router.peers.traffic import TrafficCounters

QUANTILES = (0.5, 0.95, 0.99)
KEY_LABELS = ("account", "service", "phase")
ANSWERED_CODE = "0"


class RouterCollector(Collector):
    """Collects all metrics of a router as metric families when they are scraped."""

    def __init__(
        self,
        requests: RequestMetrics,
        traffic: TrafficCounters,
        in_flight: Callable[[], int],
        feeds: Callable[[], Iterable[FeedState]] = tuple,
        targets: TargetMetrics | None = None,
        slots: SlotMetrics | None = None,
        bodies: BodyMetrics | None = None,
        unread: UnreadAnswerMetrics | None = None,
        shares: ShareMetrics | None = None,
        streams: StreamMetrics | None = None,
        lag: LagMetrics | None = None,
        memory: MemoryMetrics | None = None,
        guard: GuardMetrics | None = None,
    ) -> None:
        self._meters = requests
        self._traffic = traffic
        self._in_flight = in_flight
        self._feeds = feeds
        self._targets = targets or TargetMetrics()
        self._slots = slots or SlotMetrics()
        self._bodies = bodies or BodyMetrics()
        self._unread = unread or UnreadAnswerMetrics()
        self._shares = shares or ShareMetrics()
        self._streams = streams or StreamMetrics()
        self._lag = lag or LagMetrics()
        self._memory = memory or MemoryMetrics()
        self._guard = guard or GuardMetrics()

    def collect(self) -> Iterator[Metric]:
        yield from self._collect_phases()
        yield self._collect_codes()
        yield from self._collect_peer_traffic()
        yield GaugeMetricFamily(
            "loomyard_requests_in_flight", "requests in flight", value=self._in_flight()
        )
        yield _collect_failures()
        yield from self._collect_feeds()
        yield from self._collect_targets()
        yield from self._collect_slots()
        yield from self._collect_bodies()
        yield from self._collect_shares()
        yield from self._collect_streams()
        yield from self._collect_lag()
        yield from self._collect_memory()
        yield from self._collect_guard()

    def _collect_phases(self) -> Iterator[Metric]:
        quantiles = GaugeMetricFamily(
            "loomyard_request_seconds",
            "quantiles of the duration of a phase of requests, since the start of the router",
            labels=(*KEY_LABELS, "quantile"),
        )
        counts = CounterMetricFamily(
            "loomyard_request_phases", "measured phases of requests", labels=KEY_LABELS
        )
        sums = CounterMetricFamily(
            "loomyard_request_phase_seconds", "total duration of a phase", labels=KEY_LABELS
        )
        for account, service, histograms in self._meters.items():
            gevent.sleep(0)
            for phase, histogram in histograms.phases.items():
                key = (account, service, phase.value)
                counts.add_metric(key, histogram.get_total_count())
                sums.add_metric(key, histograms.sums[phase])
                for quantile in QUANTILES:
                    value = histogram.get_value_at_percentile(100.0 * quantile)
                    quantiles.add_metric((*key, str(quantile)), value / UNITS_PER_SECOND)
        yield from (quantiles, counts, sums)

    def _collect_codes(self) -> Metric:
        family = CounterMetricFamily(
            "loomyard_requests", "requests by result code, 0 if answered", labels=("code",)
        )
        for code, count in self._meters.codes.items():
            family.add_metric((ANSWERED_CODE if code is None else str(int(code)),), count)
        return family

    def _collect_peer_traffic(self) -> Iterator[Metric]:
        size = CounterMetricFamily(
            "loomyard_control_bytes", "bytes sent and received on peer links", labels=("direction",)
        )
        size.add_metric(("sent",), self._traffic.sent_bytes)
        size.add_metric(("received",), self._traffic.received_bytes)
        yield size

    def _collect_feeds(self) -> Iterator[Metric]:
        read = GaugeMetricFamily(
            "loomyard_feed_offset", "next offset to read of a feed, -1 if unread", labels=("feed",)
        )
        announced = GaugeMetricFamily(
            "loomyard_feed_announced_offset",
            "highest offset of a feed that another router announced",
            labels=("feed",),
        )
        unresponsive = GaugeMetricFamily(
            "loomyard_feed_silent_seconds",
            "seconds since the store last answered on a feed",
            labels=("feed",),
        )
        era = GaugeMetricFamily(
            "loomyard_feed_era",
            "era of the store in which a feed was read; it rises when the store has lost writes",
            labels=("feed",),
        )
        dropped = CounterMetricFamily(
            "loomyard_feed_answers_dropped",
            "answers of the store and of routers dropped because they belong to an earlier era",
            labels=("feed",),
        )
        for state in self._feeds():
            read.add_metric((state.name,), state.position.offset)
            announced.add_metric((state.name,), state.announced.offset)
            unresponsive.add_metric((state.name,), state.silent_seconds)
            era.add_metric((state.name,), state.position.era)
            dropped.add_metric((state.name,), state.dropped)
        yield from (read, announced, unresponsive, era, dropped)

    def _collect_targets(self) -> Iterator[Metric]:
        targets = self._targets
        yield _make_gauge(
            "loomyard_data_centres_emptied",
            "data centres that operators evacuated",
            targets.evacuated,
        )
        yield _make_gauge(
            "loomyard_targets_cold", "targets in the cold period after a start", targets.cold
        )
        yield _make_gauge(
            "loomyard_requests_suspected",
            "requests during which targets crashed lately",
            targets.suspected,
        )
        yield _make_gauge(
            "loomyard_requests_blocked",
            "poison requests that are refused, since targets crash during them",
            targets.blocked,
        )
        yield _make_gauge(
            "loomyard_prompt_parts_blocked",
            "parts of prompts for which requests are refused, since targets crash on them",
            targets.blocked_parts,
        )
        yield _make_gauge(
            "loomyard_targets_resting",
            "targets from which this router backs off at their request",
            targets.backing_off,
        )
        yield _make_counter(
            "loomyard_target_lives_replaced",
            "restarts of targets under the same id",
            targets.restarts,
        )
        yield _make_counter(
            "loomyard_targets_said_leaving",
            "targets that announced in an answer that they leave",
            targets.leaving_count,
        )
        yield _make_counter(
            "loomyard_target_rests_asked",
            "answers by which targets asked this router to back off",
            targets.backoff_requests,
        )
        unreadable = CounterMetricFamily(
            "loomyard_entries_unreadable",
            "records of a feed that could not be decoded",
            labels=("feed", "reason"),
        )
        for (feed, reason), count in targets.unreadable().items():
            unreadable.add_metric((feed, reason.value), count)
        yield unreadable

    def _collect_slots(self) -> Iterator[Metric]:
        delay = GaugeMetricFamily(
            "loomyard_target_delay_seconds",
            "fixed part of a target's time to first token, as last estimated",
            labels=("target",),
        )
        prefill_speed = GaugeMetricFamily(
            "loomyard_target_tokens_per_second",
            "prefill speed of a target in prompt tokens a second, as last estimated",
            labels=("target",),
        )
        for incarnation, estimate in self._slots.prefill_estimates().items():
            delay.add_metric((incarnation,), estimate.delay)
            prefill_speed.add_metric((incarnation,), estimate.tokens_per_second)
        refusals = CounterMetricFamily(
            "loomyard_places_refused",
            "requests for a slot that were refused, or got no reply, by reason",
            labels=("objection",),
        )
        for reason, count in self._slots.refusals().items():
            refusals.add_metric((reason,), count)
        unresponsive = _make_gauge(
            "loomyard_keepers_silent",
            "slot owners that do not answer this router",
            self._slots.unresponsive_owners,
        )
        given_up = _make_counter(
            "loomyard_places_given_up",
            "requests for slots owned here that their routers gave up before they were granted",
            self._slots.given_up,
        )
        yield from (delay, prefill_speed, refusals, unresponsive, given_up)

    def _collect_bodies(self) -> Iterator[Metric]:
        yield _make_gauge(
            "loomyard_body_bytes_held", "bytes of request bodies held now", self._bodies.held_bytes
        )
        yield _make_gauge(
            "loomyard_body_bytes_held_most",
            "peak of the bytes of request bodies held since the start of the router",
            self._bodies.peak_bytes,
        )
        yield _make_counter(
            "loomyard_bodies_refused",
            "requests refused for lack of memory for their bodies",
            self._bodies.refused,
        )
        yield _make_counter(
            "loomyard_answers_unread",
            "answers buffered in memory because their callers read slowly",
            self._unread.buffered,
        )
        yield _make_counter(
            "loomyard_answers_given_up",
            "buffered answers aborted for lack of memory",
            self._unread.aborted,
        )

    def _collect_shares(self) -> Iterator[Metric]:
        sums = GaugeMetricFamily(
            "loomyard_account_tokens",
            "tokens of an account at this router in the share window: requested, granted, or"
            " lately refused by engines for lack of room",
            labels=("account", "sum"),
        )
        for name, read in (
            ("demand", self._shares.demand),
            ("usage", self._shares.usage),
            ("unmet", self._shares.unmet),
        ):
            for account, tokens in read().items():
                sums.add_metric((account, name), tokens)
        known = GaugeMetricFamily(
            "loomyard_share_tokens",
            "share of an account in the fleet in the share window, and the cap where one is set",
            labels=("kind",),
        )
        for kind, tokens in self._shares.shares().items():
            known.add_metric((kind,), tokens)
        yield from (sums, known)

    def _collect_streams(self) -> Iterator[Metric]:
        yield _make_gauge(
            "loomyard_stream_records",
            "records of what began a stream that this router holds",
            self._streams.records,
        )
        yield _make_counter(
            "loomyard_stream_records_evicted",
            "records of streams that were dropped for lack of room before their expiry",
            self._streams.evicted,
        )
        lookups = CounterMetricFamily(
            "loomyard_stream_lookups",
            "lookups of what began a stream that a caller takes up, by result",
            labels=("result",),
        )
        for result, count in self._streams.lookups().items():
            lookups.add_metric((result,), count)
        yield lookups

    def _collect_lag(self) -> Iterator[Metric]:
        yield _make_gauge(
            "loomyard_router_lagging",
            "1 while this router lags, so that others have its duties",
            lambda: int(self._lag.is_lagging()),
        )
        yield _make_gauge(
            "loomyard_routers_lagging",
            "routers that this one knows to lag, itself included",
            self._lag.lagging_routers,
        )
        yield _make_counter(
            "loomyard_connections_offloaded",
            "connections of callers passed on to other routers",
            self._lag.offloaded,
        )
        yield _make_gauge(
            "loomyard_connections_offloaded_open",
            "connections of callers that are served by other routers now",
            self._lag.offloaded_open,
        )

    def _collect_memory(self) -> Iterator[Metric]:
        usage = self._memory.usage()
        yield GaugeMetricFamily(
            "loomyard_resident_bytes", "resident memory of the process", value=usage.resident
        )
        yield GaugeMetricFamily(
            "loomyard_address_space_bytes",
            "address space that the process has taken, reservations included",
            value=usage.address_space,
        )
        errors = CounterMetricFamily(
            "loomyard_shortage_errors",
            "errors for lack of memory or descriptors",
            labels=("lacking",),
        )
        for kind, count in self._memory.errors().items():
            errors.add_metric((kind,), count)
        yield errors
        yield _make_counter(
            "loomyard_shortages", "shortages of memory or descriptors", self._memory.shortages
        )
        yield _make_gauge(
            "loomyard_router_short",
            "1 while requests are refused for a shortage of memory or descriptors",
            lambda: int(self._memory.is_short()),
        )

    def _collect_guard(self) -> Iterator[Metric]:
        yield _make_counter(
            "loomyard_feed_waits",
            "decisions that waited after a stall until feeds were read again",
            self._guard.waits,
        )
        confirmations = CounterMetricFamily(
            "loomyard_feed_confirmations",
            "waits after stalls, by whether the feeds were read in the end",
            labels=("outcome",),
        )
        confirmations.add_metric(("confirmed",), self._guard.confirmed())
        confirmations.add_metric(("unconfirmed",), self._guard.unconfirmed())
        yield confirmations


def _collect_failures() -> Metric:
    family = CounterMetricFamily(
        "loomyard_task_failures",
        "unexpected errors of tasks, callbacks and listeners, by part of the router",
        labels=("part",),
    )
    for part, count in failure_counts().items():
        family.add_metric((part,), count)
    return family


def _make_gauge(name: str, description: str, read: Callable[[], int]) -> Metric:
    return GaugeMetricFamily(name, description, value=read())


def _make_counter(name: str, description: str, read: Callable[[], int]) -> Metric:
    return CounterMetricFamily(name, description, value=read())


def expose(collector: Collector) -> bytes:
    """Return all metrics of a collector in the text format of Prometheus."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(collector)
    return generate_latest(registry)
