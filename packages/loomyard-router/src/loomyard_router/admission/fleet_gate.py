"""Admission gate for engines, whose slots the whole fleet shares."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import frozen
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.rendezvous import rank_weighted
from loomyard_router.admission.slot_client import ISOLATION_THRESHOLD, SlotStatus
from loomyard_router.admission.slot_permit import SlotPermit
from loomyard_router.admission.slot_terms import (
    DEFAULT_OBJECTIVE,
    FIRST_TOKEN_FRACTION,
    SlotTerms,
    make_slot_terms,
)
from loomyard_router.admission.target_slots import RefusalReason
from loomyard_router.announced.target_incarnation import TargetLife

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.admission.account_backlog import AccountBacklog
    from loomyard_router.admission.ejection_tracker import EjectionTracker
    from loomyard_router.admission.share_ledger import ShareLedger
    from loomyard_router.admission.slot_client import SlotClient
    from loomyard_router.admission.target_estimates import TargetEstimates
    from loomyard_router.admission.target_loads import TargetLoads
    from loomyard_router.admission.waiting_time import RetryHint
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.cold_targets import ColdTargets
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.routed.routed_request import RoutedRequest

# Seconds to wait for the preferred engine per token that another engine would have to read again.
# That is some fifteen times the time to read it, as reading also delays all that runs there
# (docs/DECISIONS.md, Places of engines).
WAIT_SECONDS_PER_TOKEN = 100e-6
# A request that lost more than this fraction of the time to its first token comes late.
LATE_FRACTION = 0.25
MIN_WAIT = 0.002
# Seconds after which a router that waits for its own quota checks that the owner is still
# unresponsive.
QUOTA_RECHECK_SECONDS = 0.05
# Computing the weights of hundreds of targets takes as long as ranking them, and weights change
# only in steps.
WEIGHTS_CACHE_SECONDS = 0.25
# Refusal reasons that say that the engines lack room.
NO_ROOM = frozenset(
    reason.value for reason in (RefusalReason.SLOTS, RefusalReason.PREFILL, RefusalReason.RETRY)
)


@frozen
class _CachedWeights:
    until: float
    by_incarnation: dict[TargetLife, float]


class FleetGate:
    """Request slots from slot owners, or use this router's quota where an owner does not reply."""

    def __init__(
        self,
        *,
        clock: Clock,
        registry: TargetRegistry,
        health: EjectionTracker,
        loads: TargetLoads,
        client: SlotClient,
        ledger: ShareLedger,
        backlog: AccountBacklog,
        hint: RetryHint,
        cold: ColdTargets,
        estimates: TargetEstimates,
    ) -> None:
        self._clock = clock
        self._estimates = estimates
        self._weights: dict[str, _CachedWeights] = {}
        self._registry = registry
        self._health = health
        self._loads = loads
        self._client = client
        self._ledger = ledger
        self._backlog = backlog
        self._hint = hint
        self._cold = cold

    def acquire(
        self, request: RoutedRequest, excluded: frozenset[TargetLife]
    ) -> Result[SlotPermit, Fault]:
        """Wait for a slot at a target that is not excluded.

        Errors: ``NO_TARGET``, ``QUEUE_FULL``, ``QUEUE_TIMEOUT``, ``CALLER_GONE``; nothing ran.
        """
        account = request.account_name
        if not excluded:
            # A further attempt at another target is no new demand.
            self._ledger.record_demand(account, request.cost)
        request.trace.share_used = self._ledger.share_used(account)
        if self._backlog.is_full(account):
            if not excluded and not self._backlog.lacks_room(account):
                self._ledger.exclude_unmet(account, request.cost)
            detail = "too many requests of the account wait for a slot at this router"
            return Err(self._hint.make_refusal(ResultCode.QUEUE_FULL, detail))
        came_late = self._comes_late(request)
        self._backlog.add_waiting(account)
        try:
            acquired = self._find_slot(request, excluded)
        finally:
            self._backlog.remove_waiting(account)
        if acquired.is_err() and not excluded:
            # Engines refuse a request that comes late also where they have room for others.
            refused_for_room = request.trace.refusal_reason in NO_ROOM
            if came_late or not refused_for_room:
                self._ledger.exclude_unmet(account, request.cost)
        return acquired

    def _find_slot(
        self, request: RoutedRequest, excluded: frozenset[TargetLife]
    ) -> Result[SlotPermit, Fault]:
        ranked = self._rank(request, excluded)
        if not ranked:
            return Err(self._hint.make_refusal(ResultCode.NO_TARGET, request.lack_of_targets))
        terms = make_slot_terms(request, self._ledger, self._backlog)
        left = terms.wait_until - self._clock.now()
        first = min(left, _worthwhile_wait(request)) if terms.may_wait else 0.0
        # A cold target is tried without a wait: it can take only a few requests a second.
        waits = [(ranked[0], 0.0 if self._cold.rate_limit(ranked[0]) else first)]
        waits += [(target, 0.0) for target in ranked[1 : 1 + terms.fallbacks]]
        for choice, (target, wait) in enumerate(waits):
            permit = self._request_slot(request, target, wait, terms, choice)
            if permit is not None or request.presence.gone:
                return self._finish(request, permit)
        return self._finish(
            request,
            self._wait_longer(request, ranked, terms) if terms.may_wait else None,
        )

    def _comes_late(self, request: RoutedRequest) -> bool:
        """Tell whether a request lost much of its time in this router before it asks an engine."""
        objective = request.route.objective or DEFAULT_OBJECTIVE
        lost = self._clock.now() - request.arrived_at
        return lost > LATE_FRACTION * FIRST_TOKEN_FRACTION * objective

    def _wait_longer(
        self,
        request: RoutedRequest,
        ranked: list[AnnouncedTarget],
        terms: SlotTerms,
    ) -> SlotPermit | None:
        """Wait at the first warm target; while its owner is unresponsive, for this router's quota.

        Refusing at once while owners are unresponsive would send callers away though targets have
        free slots.
        """
        until = terms.wait_until
        left = until - self._clock.now()
        warm = (one for one in enumerate(ranked) if not self._cold.rate_limit(one[1]))
        choice, target = next(warm, (-1, None))
        if target is None or left < MIN_WAIT:
            return None
        permit = self._request_slot(request, target, left, terms, choice)
        for _ in range(math.ceil(left / QUOTA_RECHECK_SECONDS)):
            left = until - self._clock.now()
            unresponsive = self._client.is_unresponsive(target)
            if permit is not None or request.presence.gone or not unresponsive or left < MIN_WAIT:
                break
            if self._loads.wait(min(until, self._clock.now() + QUOTA_RECHECK_SECONDS), self._clock):
                permit = self._use_quota(request, ranked, terms)
        return permit

    def _use_quota(
        self,
        request: RoutedRequest,
        ranked: list[AnnouncedTarget],
        terms: SlotTerms,
    ) -> SlotPermit | None:
        """Use this router's quota of the first warm target whose slot owner is unresponsive."""
        for choice, target in enumerate(ranked):
            has_quota = self._client.is_unresponsive(target) and self._loads.has_free_slot(target)
            if has_quota and not self._cold.rate_limit(target):
                return self._request_slot(request, target, 0.0, terms, choice)
        return None

    def _finish(
        self, request: RoutedRequest, permit: SlotPermit | None
    ) -> Result[SlotPermit, Fault]:
        if request.presence.gone:
            if permit is not None:
                permit.release()
            return Err(Fault(code=ResultCode.CALLER_GONE, detail="the caller left"))
        if permit is None:
            return Err(
                self._hint.make_refusal(ResultCode.QUEUE_TIMEOUT, "no slot became free in time")
            )
        return Ok(permit)

    def _rank(
        self, request: RoutedRequest, excluded: frozenset[TargetLife]
    ) -> list[AnnouncedTarget]:
        usable = [
            one
            for one in self._registry.usable(request.service)
            if one.incarnation not in excluded and request.may_run_at(one)
        ]
        if not usable:
            return []
        by_id = {target.id: target for target in self._health.healthy(usable)}
        # Requests that ran beside a poison request often share its prompt prefix. After the crash
        # they are ranked by their fingerprint, so that they do not meet at a target again.
        key = request.fingerprint if request.crash_count else request.affinity_key
        weights = self._capacity_weights(request.service)
        capacities = {target.id: weights.get(target.incarnation, 1.0) for target in by_id.values()}
        ids = rank_weighted(key or request.head.attempt_id, capacities)
        ranked = [by_id[target_id] for target_id in ids]
        if not key:
            ranked.sort(key=self._client.slots_in_use)
        return ranked

    def _capacity_weights(self, service: str) -> dict[TargetLife, float]:
        """Return the relative prefill speeds of the targets of a service, cached for a moment."""
        now = self._clock.now()
        weights = self._weights.get(service)
        if weights is None or weights.until <= now:
            incarnations = [target.incarnation for target in self._registry.usable(service)]
            weights = _CachedWeights(
                now + WEIGHTS_CACHE_SECONDS, self._estimates.weights(incarnations)
            )
            self._weights[service] = weights
        return weights.by_incarnation

    def _request_slot(
        self,
        request: RoutedRequest,
        target: AnnouncedTarget,
        wait: float,
        terms: SlotTerms,
        choice: int,
    ) -> SlotPermit | None:
        account = request.account_name
        cold_rate = self._cold.rate_limit(target)
        outcome = self._client.request(
            request,
            target,
            wait=wait,
            first_token_by=terms.first_token_by,
            usage=self._ledger.usage(account),
            share_used=terms.share_used,
            cold_rate=cold_rate,
        )
        request.trace.refusal_reason = outcome.refusal_reason
        if outcome.status is SlotStatus.FULL:
            return None
        if outcome.status is SlotStatus.UNREACHABLE and (
            # Only the slot owner knows whether another suspected request just started there.
            request.crash_count >= ISOLATION_THRESHOLD
            or not self._loads.use_quota(target, cold_rate, self._clock.now())
        ):
            return None
        permit = outcome.permit
        self._loads.record_start(target)
        self._ledger.record_usage(account, request.cost)

        def on_release() -> None:
            self._loads.record_end(target)
            if permit:
                self._client.release(permit)

        def on_answer() -> None:
            if permit:
                self._client.record_first_token(permit)

        def on_unused() -> None:
            self._ledger.refund(account, request.cost)

        slots_in_use = self._client.slots_in_use(target) if permit else -1
        return SlotPermit(
            target,
            on_release,
            on_answer=on_answer,
            on_unused=on_unused,
            slots_in_use=slots_in_use,
            target_rank=choice,
            expected_ttft=outcome.ttft,
        )


def _worthwhile_wait(request: RoutedRequest) -> float:
    return request.shared_prompt_tokens * WAIT_SECONDS_PER_TOKEN
