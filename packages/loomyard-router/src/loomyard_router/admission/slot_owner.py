"""Hand out the slots of the targets that this router owns, for the whole fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent import Timeout

from loomyard_router.admission.given_up_permits import GivenUpPermits
from loomyard_router.admission.serving_order import ReserveForLeastServed, ServingOrder
from loomyard_router.admission.slot_messages import (
    PromptsRead,
    SlotReply,
    SlotRequest,
    SlotsHeld,
    SlotsReleased,
)
from loomyard_router.admission.target_slots import PendingRequest, TargetSlots
from loomyard_router.announced.cold_targets import UNLIMITED
from loomyard_router.members.pause_detector import PauseDetector
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.admission.prefill_estimate import PrefillEstimate
    from loomyard_router.admission.target_estimates import TargetEstimates
    from loomyard_router.announced.cold_targets import ColdTargets
    from loomyard_router.announced.target_incarnation import TargetLife
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

MILLISECONDS = 1000.0
# Routers renew their permits every second; permits that were not renewed for this time expire.
EXPIRY_SECONDS = 5.0
SWEEP_SECONDS = 1.0
# A sweep that is later than this means that the process paused, or that its VM was suspended.
PAUSE_SECONDS = 0.5


class SlotOwner:
    """Grant slots to routers, to the client account with the least usage first.

    An account over its share may use only a fraction of the slots, so that the others find engines
    that answer in time. The requesting routers send the usage of the account.

    The owner of a target is chosen by rendezvous hash over the live routers. While two routers both
    take themselves for its owner, the target may get more requests than it has slots, and queues
    the rest itself.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        registry: TargetRegistry,
        members: Membership,
        peers: PeerLinks,
        cold: ColdTargets,
        estimates: TargetEstimates,
        order: ServingOrder | None = None,
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._cold = cold
        self._estimates = estimates
        self._order = order or ReserveForLeastServed()
        self._members = members
        self._slots: dict[TargetLife, TargetSlots] = {}
        self._given_up = GivenUpPermits()
        self._task: gevent.Greenlet | None = None
        peers.handle(SlotRequest, self.request)
        peers.handle(SlotsReleased, self.release)
        peers.handle(PromptsRead, self.record_first_tokens)
        peers.handle(SlotsHeld, self.renew)
        members.subscribe(self._release_dead)
        registry.subscribe(self._end_withdrawn)

    @property
    def given_up(self) -> int:
        """Return how many permits were released here that had not been granted."""
        return self._given_up.count

    def start(self) -> None:
        """Start to expire the permits of routers that stopped renewing them."""
        self._task = start_supervised("slot owner", self._clock, self._run)

    def stop(self) -> None:
        """Stop expiring permits."""
        if self._task is not None:
            self._task.kill(block=False)

    def request(self, member: Member, request: SlotRequest) -> SlotReply:
        """Grant a slot, waiting for one up to the request's ``wait_ms``."""
        slots = self._open(request.target, request.slots)
        slots.slots = request.slots
        # Either router may not know yet that the target is cold.
        slots.cold_limiter.per_second = request.cold_rate or self._cold_rate(request.target)
        permit = (member.name, member.incarnation, request.permit)
        pending = PendingRequest(
            permit, request, self._clock.now() + request.first_token_ms / MILLISECONDS
        )
        if self._given_up.remove(permit):
            return self._make_reply(slots, pending, granted=False)
        withdrawn = self._registry.is_withdrawn(request.target)
        granted = not withdrawn and self._wait(slots, pending)
        if not granted and not withdrawn:
            slots.record_refusal(request)
        return self._make_reply(slots, pending, granted=granted)

    def record_first_tokens(self, member: Member, read: PromptsRead) -> None:
        """Record which prompts have been read, and serve the requests that waited for that."""
        now = self._clock.now()
        for number in read.permits:
            permit = (member.name, member.incarnation, number)
            for slots in self._slots.values():
                if slots.record_first_token(permit, now):
                    self._serve(slots)
                    break

    def release(self, member: Member, released: SlotsReleased) -> None:
        """Free the slots of permits and serve pending requests."""
        for number in released.permits:
            permit = (member.name, member.incarnation, number)
            for slots in self._slots.values():
                if slots.release(permit):
                    self._serve(slots)
                    break
                if slots.withdraw(permit):
                    self._given_up.count += 1
                    break
            else:
                self._given_up.add(permit)

    def renew(self, member: Member, renewal: SlotsHeld) -> None:
        """Set the permits of a router to those it reports as held."""
        now = self._clock.now()
        for target, permits in renewal.held.items():
            slots = self._open(target, 1, renewal.estimates.get(target))
            slots.renew(member.name, member.incarnation, set(permits), now)
        for target, slots in self._slots.items():
            if target not in renewal.held:
                slots.renew(member.name, member.incarnation, set(), now)
            self._serve(slots)

    def sweep(self) -> None:
        """Free the slots of expired permits, and drop targets that are gone."""
        oldest = self._clock.now() - EXPIRY_SECONDS
        known = {target.incarnation for target in self._registry.listed()}
        for incarnation, slots in list(self._slots.items()):
            if slots.release_matching(lambda _, since: since < oldest):
                self._serve(slots)
            if not slots.held and not slots.pending and incarnation not in known:
                del self._slots[incarnation]

    def _open(
        self,
        incarnation: TargetLife,
        count: int,
        received: PrefillEstimate | None = None,
    ) -> TargetSlots:
        """Return the slots of a target; for a new one with the best known prefill estimate."""
        slots = self._slots.get(incarnation)
        if slots is None:
            slots = self._slots[incarnation] = TargetSlots(count)
            target = self._registry.find(incarnation)
            others = () if target is None else self._registry.usable(target.service)
            slots.prefills.model.prior = received or self._estimates.find_prior(
                incarnation, (other.incarnation for other in others)
            )
        return slots

    def _make_reply(
        self, slots: TargetSlots, pending: PendingRequest, *, granted: bool
    ) -> SlotReply:
        now = self._clock.now()
        refusal = None if granted else slots.find_refusal(pending, now)
        estimate = slots.prefills.model.estimate(now) if pending.request.prompt_tokens else None
        if estimate is not None:
            self._estimates.record(pending.request.target, estimate)
        return SlotReply(
            granted=granted,
            slots_in_use=len(slots.held) + len(slots.pending),
            refusal_reason="" if refusal is None else refusal.value,
            ttft_ms=round(pending.ttft * MILLISECONDS),
            estimate=estimate,
        )

    def _cold_rate(self, incarnation: TargetLife) -> float:
        target = self._registry.find(incarnation)
        return UNLIMITED if target is None else self._cold.rate_limit(target)

    def _wait(self, slots: TargetSlots, pending: PendingRequest) -> bool:
        slots.pending.append(pending)
        # This request may fit though others wait: they may have larger prompts, or accounts that
        # are over their shares.
        self._serve(slots)
        try:
            if pending.request.wait_ms and not pending.granted.ready():
                with Timeout(pending.request.wait_ms / MILLISECONDS, False):
                    pending.granted.get()
        finally:
            if pending in slots.pending:
                slots.pending.remove(pending)
        return bool(pending.granted.ready() and pending.granted.get())

    def _serve(self, slots: TargetSlots) -> None:
        """Grant free slots to pending requests as long as the serving order admits one."""
        while slots.pending:
            admitted = self._order.choose(slots, self._clock.now())
            if admitted is None:
                return
            slots.pending.remove(admitted)
            slots.grant(admitted, self._clock.now())
            admitted.granted.set(True)

    def _end_withdrawn(self) -> None:
        """Refuse what waits for withdrawn targets, while there is time to try other targets."""
        for incarnation, slots in self._slots.items():
            if slots.pending and self._registry.is_withdrawn(incarnation):
                waiting, slots.pending = slots.pending, []
                for pending in waiting:
                    pending.granted.set(False)

    def _release_dead(self) -> None:
        live = {(member.name, member.incarnation) for member in self._members.live()}
        for slots in self._slots.values():
            if slots.release_matching(lambda permit, _: permit[:2] not in live):
                self._serve(slots)

    def _run(self) -> None:
        pause = PauseDetector(slack=PAUSE_SECONDS, bound=PAUSE_SECONDS, due=self._clock.now())
        while True:
            pause.due = self._clock.now() + SWEEP_SECONDS
            self._clock.sleep(SWEEP_SECONDS)
            late, paused = pause.check(self._clock.now())
            if paused:
                # No renewals could arrive during the pause, so it does not count towards expiry.
                for slots in self._slots.values():
                    slots.postpone(late, self._clock.now())
            self.sweep()
