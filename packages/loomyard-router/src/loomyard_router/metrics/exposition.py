"""Metrics in the exposition format of Prometheus."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector

from loomyard_router.admission.slot_metrics import SlotMetrics
from loomyard_router.announced.target_metrics import TargetMetrics
from loomyard_router.metrics.key_histograms import UNITS_PER_SECOND
from loomyard_router.routed.body_metrics import BodyMetrics
from loomyard_router.routed.unread_answer_metrics import UnreadAnswerMetrics

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from prometheus_client.metrics_core import Metric

    from loomyard_router.feeds.feed_state import FeedState
    from loomyard_router.metrics.meters import Meters
    from loomyard_router.peers.traffic import TrafficCounters

QUANTILES = (0.5, 0.95, 0.99)
KEY_LABELS = ("account", "service", "phase")
ANSWERED = "0"


class MetersCollector(Collector):
    """Turn the measurements into metric families."""

    def __init__(
        self,
        meters: Meters,
        traffic: TrafficCounters,
        in_flight: Callable[[], int],
        feeds: Callable[[], Iterable[FeedState]] = tuple,
        announced: TargetMetrics | None = None,
        places: SlotMetrics | None = None,
        bodies: BodyMetrics | None = None,
        unread: UnreadAnswerMetrics | None = None,
    ) -> None:
        self._meters = meters
        self._traffic = traffic
        self._in_flight = in_flight
        self._feeds = feeds
        self._announced = announced or TargetMetrics()
        self._places = places or SlotMetrics()
        self._bodies = bodies or BodyMetrics()
        self._unread = unread or UnreadAnswerMetrics()

    def collect(self) -> Iterator[Metric]:
        yield from self._phases()
        yield self._codes()
        yield from self._control()
        yield GaugeMetricFamily(
            "loomyard_requests_in_flight", "requests in flight", value=self._in_flight()
        )
        yield from self._feed_states()
        yield from self._announcements()
        yield from self._place_states()
        yield from self._body_states()

    def _phases(self) -> Iterator[Metric]:
        quantiles = GaugeMetricFamily(
            "loomyard_request_seconds",
            "quantiles of a phase of requests, since the start",
            labels=(*KEY_LABELS, "quantile"),
        )
        counts = CounterMetricFamily(
            "loomyard_request_phases", "measurements of a phase of requests", labels=KEY_LABELS
        )
        sums = CounterMetricFamily(
            "loomyard_request_phase_seconds", "summed time of a phase", labels=KEY_LABELS
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

    def _codes(self) -> Metric:
        family = CounterMetricFamily(
            "loomyard_requests", "requests by result code, 0 where answered", labels=("code",)
        )
        for code, count in self._meters.codes.items():
            family.add_metric((ANSWERED if code is None else str(int(code)),), count)
        return family

    def _control(self) -> Iterator[Metric]:
        size = CounterMetricFamily(
            "loomyard_control_bytes", "bytes between routers", labels=("direction",)
        )
        size.add_metric(("sent",), self._traffic.sent_bytes)
        size.add_metric(("received",), self._traffic.received_bytes)
        yield size

    def _feed_states(self) -> Iterator[Metric]:
        read = GaugeMetricFamily(
            "loomyard_feed_offset", "next offset of a feed here, -1 before", labels=("feed",)
        )
        announced = GaugeMetricFamily(
            "loomyard_feed_announced_offset",
            "highest offset of a feed that another router announced",
            labels=("feed",),
        )
        silent = GaugeMetricFamily(
            "loomyard_feed_silent_seconds",
            "seconds since the store last answered on a feed",
            labels=("feed",),
        )
        era = GaugeMetricFamily(
            "loomyard_feed_era",
            "era of the store that a feed was read in; it rises when the store lost writes",
            labels=("feed",),
        )
        dropped = CounterMetricFamily(
            "loomyard_feed_answers_dropped",
            "answers of the store and of routers that belong to an earlier era",
            labels=("feed",),
        )
        for state in self._feeds():
            read.add_metric((state.name,), state.position.offset)
            announced.add_metric((state.name,), state.announced.offset)
            silent.add_metric((state.name,), state.silent_seconds)
            era.add_metric((state.name,), state.position.era)
            dropped.add_metric((state.name,), state.dropped)
        yield from (read, announced, silent, era, dropped)

    def _announcements(self) -> Iterator[Metric]:
        figures = self._announced
        yield _gauge(
            "loomyard_data_centres_emptied",
            "data centres that operators emptied",
            figures.evacuated,
        )
        yield _gauge("loomyard_targets_cold", "targets that are cold", figures.cold)
        yield _gauge(
            "loomyard_requests_suspected",
            "requests under which targets ended lately",
            figures.suspected,
        )
        yield _gauge(
            "loomyard_requests_blocked",
            "requests that are refused since targets end under them",
            figures.blocked,
        )
        yield _gauge(
            "loomyard_targets_resting",
            "targets that this router leaves alone for a while, as they asked",
            figures.backing_off,
        )
        yield _counter(
            "loomyard_target_lives_replaced",
            "targets that started again under their id",
            figures.restarts,
        )
        yield _counter(
            "loomyard_targets_said_leaving",
            "targets that said in an answer that they leave",
            figures.leaving_count,
        )
        yield _counter(
            "loomyard_target_rests_asked",
            "answers by which targets asked for rest",
            figures.backoff_requests,
        )
        unreadable = CounterMetricFamily(
            "loomyard_entries_unreadable",
            "records of a feed that could not be read",
            labels=("feed", "reason"),
        )
        for (feed, reason), count in figures.unreadable().items():
            unreadable.add_metric((feed, reason.value), count)
        yield unreadable

    def _place_states(self) -> Iterator[Metric]:
        delay = GaugeMetricFamily(
            "loomyard_target_delay_seconds",
            "time to a first event besides reading, as last heard of a target",
            labels=("target",),
        )
        pace = GaugeMetricFamily(
            "loomyard_target_tokens_per_second",
            "prompt tokens that a target reads a second, as last heard of it",
            labels=("target",),
        )
        for life, heard in self._places.prefill_estimates().items():
            delay.add_metric((life,), heard.delay)
            pace.add_metric((life,), heard.tokens_per_second)
        objections = CounterMetricFamily(
            "loomyard_places_refused", "places that keepers did not give", labels=("objection",)
        )
        for objection, count in self._places.refusals().items():
            objections.add_metric((objection,), count)
        silent = _gauge(
            "loomyard_keepers_silent",
            "keepers of places that do not answer this router",
            self._places.unresponsive_owners,
        )
        yield from (delay, pace, objections, silent)

    def _body_states(self) -> Iterator[Metric]:
        yield _gauge(
            "loomyard_body_bytes_held", "bytes of request bodies held now", self._bodies.held_bytes
        )
        yield _gauge(
            "loomyard_body_bytes_held_most",
            "bytes of request bodies held at the most since the start",
            self._bodies.peak_bytes,
        )
        yield _counter(
            "loomyard_bodies_refused",
            "requests refused since their bodies found no room",
            self._bodies.refused,
        )
        yield _counter(
            "loomyard_answers_unread",
            "answers taken off their targets, as their callers did not read",
            self._unread.buffered,
        )
        yield _counter(
            "loomyard_answers_given_up",
            "unread answers broken off for want of room",
            self._unread.aborted,
        )


def _gauge(name: str, meaning: str, read: Callable[[], int]) -> Metric:
    return GaugeMetricFamily(name, meaning, value=read())


def _counter(name: str, meaning: str, read: Callable[[], int]) -> Metric:
    return CounterMetricFamily(name, meaning, value=read())


def expose(collector: Collector) -> bytes:
    """Return the text of all metrics."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(collector)
    return generate_latest(registry)
