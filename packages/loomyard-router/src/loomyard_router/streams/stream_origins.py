"""Records of what began the streams of a router, and of those that their callers take up."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

from attrs import evolve
from result import Err, Ok, Result

from loomyard.errors import ResultCode
from loomyard.events import Event, emit
from loomyard_router.admission.slot_terms import DEFAULT_OBJECTIVE
from loomyard_router.streams.history_exchange import HistoryExchange
from loomyard_router.streams.origin_history import OriginHistory
from loomyard_router.streams.origin_lookup import OWN, SOLE, FoundOrigin, OriginLookup
from loomyard_router.streams.origin_record import OriginRecord
from loomyard_router.streams.origin_replicator import OriginReplicator
from loomyard_router.streams.origin_table import OriginTable
from loomyard_router.streams.stream_metrics import StreamMetrics

if TYPE_CHECKING:
    import random

    from loomyard.clock import Clock
    from loomyard.errors import Fault
    from loomyard_router.admission.waiting_time import RetryHint
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.routed.routed_request import RoutedRequest
    from loomyard_router.routes.route_table_holder import RouteTableHolder
    from loomyard_router.streams.stream_origin import StreamOrigin

logger = logging.getLogger(__name__)

# Fraction of the objective that a lookup may take where hosts reply late, as lagging ones do.
LOOKUP_FRACTION = 0.5
MIN_LOOKUP_SECONDS = 0.1
# How long after the deadline of an attempt its caller may take the stream up, and the longest
# time for which a record is kept.
TAKE_UP_SECONDS = 30.0
MAX_RECORD_SECONDS = 600.0
PEER, UNKNOWN, SILENT = "peer", "unknown", "silent"


class StreamOrigins:
    """Record the origin of each stream that may be resumed, and find those of other routers."""

    def __init__(
        self,
        *,
        clock: Clock,
        table: OriginTable,
        replicator: OriginReplicator,
        lookup: OriginLookup,
        exchange: HistoryExchange,
        members: Membership,
        hint: RetryHint,
    ) -> None:
        self._exchange = exchange
        self._clock = clock
        self._table = table
        self._replicator = replicator
        self._lookup = lookup
        self._members = members
        self._hint = hint
        self._lookups: Counter[str] = Counter()

    @property
    def metrics(self) -> StreamMetrics:
        """Return the callables that are read when metrics are scraped."""
        return StreamMetrics(
            records=lambda: len(self._table),
            evicted=lambda: self._table.evicted,
            lookups=lambda: self._lookups,
        )

    def start(self) -> None:
        """Start to replicate records, and to ask for what this router could not observe."""
        self._replicator.start()
        self._exchange.start()

    def stop(self) -> None:
        """End the tasks."""
        self._exchange.stop()
        self._replicator.stop()

    def hand_over(self) -> None:
        """Hand over records that no other router would send again, before a planned stop."""
        self._replicator.hand_over()

    def find(self, request: RoutedRequest) -> Result[StreamOrigin, Fault]:
        """Return the origin of the stream that a request continues.

        Errors: ``ORIGIN_UNKNOWN``, ``NO_TARGET``; nothing ran.
        """
        now = self._clock.now()
        objective = request.route.objective or DEFAULT_OBJECTIVE
        seconds = max(MIN_LOOKUP_SECONDS, LOOKUP_FRACTION * objective)
        outcome = self._lookup.find(
            request.stream_id if request.head.resumed_attempt_id else "",
            request.route.name,
            key=request.stream_id,
            deadline=min(now + seconds, request.deadline),
        )
        if not isinstance(outcome, FoundOrigin):
            return self._refuse_unknown(request, outcome.silent)
        self._lookups[outcome.told_by if outcome.told_by in (OWN, SOLE) else PEER] += 1
        origin = outcome.origin
        _log_take_up(
            Event.CALLER_RESUMED,
            request,
            service=origin.service,
            software=origin.software_version,
            told_by=outcome.told_by,
        )
        if not request.route.leads_to(origin.service):
            detail = f"route {request.route.name} does not lead to {origin.service}, which began it"
            return Err(self._refuse(request, ResultCode.NO_TARGET, detail))
        return Ok(origin)

    def record(self, request: RoutedRequest) -> None:
        """Record the origin of a stream before its caller gets the first event."""
        assert request.origin is not None
        now = self._clock.now()
        seconds = max(0.0, request.head.deadline - now) + TAKE_UP_SECONDS
        own = self._members.own
        record = OriginRecord(
            attempt_id=request.stream_id,
            origin=request.origin,
            router=own.name,
            incarnation=own.incarnation,
            until=now + min(seconds, MAX_RECORD_SECONDS),
        )
        hosts = self._replicator.publish(record, request.route.name)
        if hosts:
            emit(
                logger,
                Event.STREAM_BEGAN,
                request=request.head.attempt_id,
                service=request.origin.service,
                software=request.origin.software_version,
                hosts=hosts,
            )

    def release(self, request: RoutedRequest) -> None:
        """Record that a stream is complete."""
        self._replicator.release(request.stream_id)

    def _refuse_unknown(
        self, request: RoutedRequest, silent: tuple[str, ...]
    ) -> Result[StreamOrigin, Fault]:
        self._lookups[SILENT if silent else UNKNOWN] += 1
        detail = "no router that was asked knows what began the stream"
        if silent:
            detail = f"{detail}; no reply from {', '.join(silent)}"
        fault = self._refuse(request, ResultCode.ORIGIN_UNKNOWN, detail)
        # Where all replied, another attempt would learn no more.
        return Err(fault if silent else evolve(fault, retry_after=None))

    def _refuse(self, request: RoutedRequest, code: ResultCode, detail: str) -> Fault:
        _log_take_up(Event.STREAM_NOT_RESUMED, request, detail=detail)
        return self._hint.make_refusal(code, detail)


def _log_take_up(event: Event, request: RoutedRequest, **fields: str) -> None:
    emit(
        logger,
        event,
        request=request.head.attempt_id,
        resumes=request.head.resumed_attempt_id,
        after=request.head.last_event_id,
        **fields,
    )


def make_stream_origins(
    *,
    clock: Clock,
    registry: TargetRegistry,
    holder: RouteTableHolder,
    members: Membership,
    peers: PeerLinks,
    hint: RetryHint,
    rng: random.Random,
) -> StreamOrigins:
    """Create and wire the components."""
    table = OriginTable(clock)
    history = OriginHistory(clock=clock, registry=registry, holder=holder, members=members)
    replicator = OriginReplicator(
        clock=clock, table=table, history=history, members=members, peers=peers
    )
    lookup = OriginLookup(
        clock=clock,
        table=table,
        replicator=replicator,
        history=history,
        peers=peers,
    )
    return StreamOrigins(
        clock=clock,
        table=table,
        replicator=replicator,
        lookup=lookup,
        exchange=HistoryExchange(
            clock=clock, history=history, members=members, peers=peers, rng=rng
        ),
        members=members,
        hint=hint,
    )
