"""Places at engines, of which the whole fleet shares the slots."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import frozen
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.rendezvous import rank_weighted
from loomyard_router.admission.place_client import APART_LEVEL, Verdict
from loomyard_router.admission.slot_permit import SlotPermit
from loomyard_router.admission.waiting_time import RetryHint, wait_until
from loomyard_router.announced.target_incarnation import TargetIncarnation

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.admission.account_backlog import AccountBacklog
    from loomyard_router.admission.ejection_tracker import EjectionTracker
    from loomyard_router.admission.place_client import PlaceClient
    from loomyard_router.admission.share_ledger import ShareLedger
    from loomyard_router.admission.target_loads import TargetLoads
    from loomyard_router.admission.target_paces import TargetPaces
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.cold_targets import ColdTargets
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.routed.routed_request import RoutedRequest

# Seconds of waiting that a token is worth which another engine would read again: some fifteen times
# its reading, since that also delays all that runs there (docs/DECISIONS.md, Places of engines).
WAIT_PER_TOKEN = 100e-6
# By this part of the objective a target has to begin the answer, so that it reaches its caller in
# time.
PATIENCE_PART = 0.75
DEFAULT_OBJECTIVE = 0.4
LEAST_WAIT = 0.002
# Seconds after which a router that waits for its own part looks whether that is still so.
OWN_WAIT = 0.05
# Engines tried besides the preferred one before it is waited for again.
MOST_OTHERS = 2
# As many for a prompt that is mostly its own: little of it is read again elsewhere, and where it is
# long, only an engine that reads nothing else begins it in time; each second one does.
MOST_OTHERS_OWN = 6
# To weigh hundreds of targets takes as long as to rank them, and weights change in steps.
WEIGHTS_SECONDS = 0.25
# Own tokens for each shared one from which on a prompt counts as its own.
OWN_RATIO = 2.0


@frozen
class _Weights:
    until: float
    by_life: dict[TargetIncarnation, float]


class FleetGate:
    """Ask the keepers of engines; without an answer take no more than this router's part."""

    def __init__(
        self,
        *,
        clock: Clock,
        registry: TargetRegistry,
        health: EjectionTracker,
        loads: TargetLoads,
        client: PlaceClient,
        ledger: ShareLedger,
        waiting: AccountBacklog,
        hint: RetryHint,
        cold: ColdTargets,
        paces: TargetPaces,
    ) -> None:
        self._clock = clock
        self._paces = paces
        self._weights: dict[str, _Weights] = {}
        self._registry = registry
        self._health = health
        self._loads = loads
        self._client = client
        self._ledger = ledger
        self._waiting = waiting
        self._hint = hint
        self._cold = cold

    def acquire(
        self, request: RoutedRequest, avoided: frozenset[TargetIncarnation]
    ) -> Result[SlotPermit, Fault]:
        account = request.account_name
        if not avoided:
            # What goes on at another target was asked for once already.
            self._ledger.ask(account, request.cost)
        request.trace.share_used = self._ledger.share_used(account)
        if self._waiting.is_full(account):
            detail = "too many requests of the account wait for a place here"
            return Err(self._hint.make_refusal(ResultCode.QUEUE_FULL, detail))
        self._waiting.add_waiting(account)
        try:
            return self._find(request, avoided)
        finally:
            self._waiting.remove_waiting(account)

    def _find(
        self, request: RoutedRequest, avoided: frozenset[TargetIncarnation]
    ) -> Result[SlotPermit, Fault]:
        ranked = self._rank(request, avoided)
        if not ranked:
            detail = "no target of the service takes new work"
            return Err(self._hint.make_refusal(ResultCode.NO_TARGET, detail))
        beyond = self._ledger.beyond(request.account_name)
        until = wait_until(request, within_share=not beyond)
        objective = request.route.objective or DEFAULT_OBJECTIVE
        first_event_by = request.arrived_at + PATIENCE_PART * objective
        # What is beyond the share goes to those that got less, also if their callers all meet one
        # router; whoever got most would wait at all routers and take each place that comes free.
        waits_here = not self._ledger.is_far_over_share(request.account_name)
        first = min(until - self._clock.now(), _worthwhile_wait(request)) if waits_here else 0.0
        # A cold target is asked, not waited for: it bears a few requests a second.
        waits = [(ranked[0], 0.0 if self._cold.rate_limit(ranked[0]) else first)]
        waits += [(target, 0.0) for target in ranked[1 : 1 + _most_others(request, beyond=beyond)]]
        for choice, (target, wait) in enumerate(waits):
            place = self._ask(request, target, wait, first_event_by, choice)
            if place is not None or request.presence.gone:
                return self._end(request, place)
        return self._end(
            request,
            self._wait_longer(request, ranked, until, first_event_by) if waits_here else None,
        )

    def _wait_longer(
        self,
        request: RoutedRequest,
        ranked: list[AnnouncedTarget],
        until: float,
        first_event_by: float,
    ) -> SlotPermit | None:
        """Wait at the first target that is warm; with its keeper silent, for this router's part.

        A refusal at once would send the caller away while targets have room: of 844 refusals of
        the router that all large accounts met, half came within 28 ms of the arrival and with
        keepers that it took for silent (19 routers, 36 requests a second there, lines of requests).
        """
        left = until - self._clock.now()
        warm = (one for one in enumerate(ranked) if not self._cold.rate_limit(one[1]))
        choice, target = next(warm, (-1, None))
        if target is None or left < LEAST_WAIT:
            return None
        place = self._ask(request, target, left, first_event_by, choice)
        for _ in range(math.ceil(left / OWN_WAIT)):
            left = until - self._clock.now()
            silent = self._client.is_silent(target)
            if place is not None or request.presence.gone or not silent or left < LEAST_WAIT:
                break
            if self._loads.wait(min(until, self._clock.now() + OWN_WAIT), self._clock):
                place = self._ask_own(request, ranked, first_event_by)
        return place

    def _ask_own(
        self,
        request: RoutedRequest,
        ranked: list[AnnouncedTarget],
        first_event_by: float,
    ) -> SlotPermit | None:
        """Take a place of this router's part of a warm target whose keeper is silent."""
        for choice, target in enumerate(ranked):
            own = self._client.is_silent(target) and self._loads.has_free_slot(target)
            if own and not self._cold.rate_limit(target):
                return self._ask(request, target, 0.0, first_event_by, choice)
        return None

    def _end(self, request: RoutedRequest, place: SlotPermit | None) -> Result[SlotPermit, Fault]:
        if request.presence.gone:
            if place is not None:
                place.release()
            return Err(Fault(code=ResultCode.CALLER_GONE, detail="the caller left"))
        if place is None:
            return Err(self._hint.make_refusal(ResultCode.QUEUE_TIMEOUT, "no place came free soon"))
        return Ok(place)

    def _rank(
        self, request: RoutedRequest, avoided: frozenset[TargetIncarnation]
    ) -> list[AnnouncedTarget]:
        usable = [
            one for one in self._registry.usable(request.service) if one.incarnation not in avoided
        ]
        if not usable:
            return []
        by_id = {target.id: target for target in self._health.healthy(usable)}
        # What ran beside a request that ends targets often shares its prompt; after its target
        # ended it goes another way than that, so that it is not there again.
        key = request.fingerprint if request.crash_count else request.affinity_key
        weights = self._weigh(request.service)
        capacities = {target.id: weights.get(target.incarnation, 1.0) for target in by_id.values()}
        ids = rank_weighted(key or request.head.attempt_id, capacities)
        ranked = [by_id[target_id] for target_id in ids]
        if not key:
            ranked.sort(key=self._client.taken)
        return ranked

    def _weigh(self, service: str) -> dict[TargetIncarnation, float]:
        """Return the relative capacities of targets, as they were lately."""
        now = self._clock.now()
        weights = self._weights.get(service)
        if weights is None or weights.until <= now:
            lives = [target.incarnation for target in self._registry.usable(service)]
            weights = _Weights(now + WEIGHTS_SECONDS, self._paces.weights(lives))
            self._weights[service] = weights
        return weights.by_life

    def _ask(
        self,
        request: RoutedRequest,
        target: AnnouncedTarget,
        wait: float,
        first_event_by: float,
        choice: int,
    ) -> SlotPermit | None:
        account = request.account_name
        cold_rate = self._cold.rate_limit(target)
        outcome = self._client.ask(
            request,
            target,
            wait=wait,
            first_event_by=first_event_by,
            level=self._ledger.usage(account),
            used=self._ledger.share_used(account),
            cold_rate=cold_rate,
        )
        request.trace.refusal_reason = outcome.objection
        if outcome.verdict is Verdict.FULL:
            return None
        if outcome.verdict is Verdict.UNREACHABLE and (
            # Only the keeper knows whether another one of them has just begun there.
            request.crash_count >= APART_LEVEL
            or not self._loads.spend_part(target, cold_rate, self._clock.now())
        ):
            return None
        ticket = outcome.ticket
        self._loads.record_start(target)
        self._ledger.give(account, request.cost)

        def released() -> None:
            self._loads.record_end(target)
            if ticket:
                self._client.release(ticket)

        def answered() -> None:
            if ticket:
                self._client.note_read(ticket)

        def unused() -> None:
            self._ledger.take_back(account, request.cost)

        taken = self._client.taken(target) if ticket else -1
        return SlotPermit(
            target,
            released,
            answered=answered,
            unused=unused,
            slots_in_use=taken,
            target_rank=choice,
            expected_ttft=outcome.expected,
        )


def _worthwhile_wait(request: RoutedRequest) -> float:
    return request.shared_prompt_tokens * WAIT_PER_TOKEN


def _most_others(request: RoutedRequest, *, beyond: bool) -> int:
    mostly_own = request.head.prompt_tokens - request.shared_prompt_tokens >= (
        OWN_RATIO * request.shared_prompt_tokens
    )
    if not beyond or not request.affinity_key:
        return MOST_OTHERS_OWN if mostly_own else MOST_OTHERS
    # What it asks beyond its share must not make other engines read shared parts again.
    return MOST_OTHERS if mostly_own else 0
