"""Slots of one engine: permits held, prompts being read, and pending requests."""

from __future__ import annotations

import math
from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field
from gevent.event import AsyncResult

from loomyard_router.admission.cold_limiter import ColdLimiter
from loomyard_router.admission.permit_id import PermitId
from loomyard_router.admission.prefill_queue import PrefillQueue
from loomyard_router.admission.prefix_cache_model import PrefixCacheModel
from loomyard_router.admission.slot_messages import SlotRequest
from loomyard_router.admission.usable_fraction import find_usable_fraction

if TYPE_CHECKING:
    from collections.abc import Callable

# A renewal may have been sent before the router received its latest grants.
GRANT_DELIVERY_SECONDS = 0.5
# Accounts at twice their share may use this fraction of the slots; less than half would leave the
# target idle.
MIN_SLOT_FRACTION = 0.52
# Their prompts may use this fraction of the time to first token, the rest is for other accounts.
MIN_PREFILL_FRACTION = 0.22
MILLISECONDS = 1000.0
# A poison request crashes its target soon after it starts, though its prompt may wait behind others
# first. For this time a suspected request shares its target with no other suspected one.
ISOLATION_SECONDS = 2.0
# Refused prompts remembered. At 200 refusals a second that is 20 s; callers retry within a third of
# their time limit.
MAX_REFUSED = 4096


class RefusalReason(Enum):
    """Why a request gets no slot now; the values are labels of metrics and of log lines."""

    SLOTS = "places"
    COLD = "cold"
    ISOLATION = "apart"
    RETRY = "returned"
    PREFILL = "reading"


@define(eq=False)
class PendingRequest:
    """A request for a slot that is not granted yet.

    ``granted`` is set to true with the grant, and to false to end the wait without one.
    ``first_token_by`` is when the first token is due; ``ttft`` is the time to first token in
    seconds, predicted with the grant.
    """

    permit: PermitId
    request: SlotRequest
    first_token_by: float = math.inf
    ttft: float = 0.0
    granted: AsyncResult = field(factory=AsyncResult)


@define(eq=False)
class TargetSlots:
    """Slots of one target, counted by permit.

    So a release or a renewal may be repeated or lost. ``held`` tells for each permit when it was
    granted or last renewed, later by the pauses of this process since.
    """

    slots: int
    held: dict[PermitId, float] = field(factory=dict)
    pending: list[PendingRequest] = field(factory=list)
    prefix_cache: PrefixCacheModel = field(factory=PrefixCacheModel)
    prefills: PrefillQueue = field(factory=PrefillQueue)
    cold_limiter: ColdLimiter = field(factory=ColdLimiter)
    _confirmed_at: dict[PermitId, float] = field(factory=dict)
    _isolated: dict[PermitId, float] = field(factory=dict)
    _refused: OrderedDict[tuple[str, int], None] = field(factory=OrderedDict)

    def by_usage(self) -> list[PendingRequest]:
        """Return the pending requests, those of the account with the least usage first."""
        return sorted(self.pending, key=lambda pending: pending.request.usage)

    def admits(self, pending: PendingRequest, now: float) -> bool:
        """Tell whether a request may have a slot now."""
        return self.find_refusal(pending, now) is None

    def find_refusal(self, pending: PendingRequest, now: float) -> RefusalReason | None:
        """Return why a request may not have a slot now, ``None`` where it may."""
        request = pending.request
        if len(self.held) >= self.slots * find_usable_fraction(
            request.share_used, MIN_SLOT_FRACTION
        ):
            return RefusalReason.SLOTS
        if not self.cold_limiter.admits(now):
            return RefusalReason.COLD
        if request.isolated and any(
            now - since < ISOLATION_SECONDS for since in self._isolated.values()
        ):
            return RefusalReason.ISOLATION
        if not request.first_token_ms or not self.prefills.has_pending(now):
            return None
        if request.over_share and (request.unshared_part, request.prompt_tokens) in self._refused:
            # Mostly this is a retry by the caller and late already, so it must not take prefill
            # time from requests that can still be answered in time. It gets a slot only where no
            # prompt is being read. The second request that a first attempt sends to this target
            # looks the same and is refused as well.
            return RefusalReason.RETRY
        uncached = request.prompt_tokens - self.prefix_cache.cached_tokens(request.shared_parts)
        if self.prefills.time_to_first_token(uncached, now) > pending.first_token_by - now:
            return RefusalReason.PREFILL
        limit = (
            find_usable_fraction(request.share_used, MIN_PREFILL_FRACTION)
            * request.first_token_ms
            / MILLISECONDS
        )
        return (
            None if self.prefills.prefill_seconds(uncached, now) <= limit else RefusalReason.PREFILL
        )

    def record_refusal(self, request: SlotRequest) -> None:
        """Remember a refused prompt, to recognize it when its caller retries."""
        if request.unshared_part:
            self._refused[request.unshared_part, request.prompt_tokens] = None
            self._refused.move_to_end((request.unshared_part, request.prompt_tokens))
            if len(self._refused) > MAX_REFUSED:
                self._refused.popitem(last=False)

    def grant(self, pending: PendingRequest, now: float) -> None:
        """Give a request a slot."""
        permit, request = pending.permit, pending.request
        self.held[permit] = self._confirmed_at[permit] = now
        if request.isolated:
            self._isolated[permit] = now
        self.cold_limiter.spend()
        if request.prompt_tokens:
            uncached = max(
                0, request.prompt_tokens - self.prefix_cache.cached_tokens(request.shared_parts)
            )
            pending.ttft = self.prefills.time_to_first_token(uncached, now)
            self.prefills.begin(permit, uncached, now)
            self.prefix_cache.record_use(request.shared_parts)

    def record_first_token(self, permit: PermitId, now: float) -> bool:
        """Record the first token of an answer; false where it was recorded already."""
        return self.prefills.record_first_token(permit, now)

    def release(self, permit: PermitId) -> bool:
        """Free the slot of a permit; false where the permit holds none."""
        self.prefills.drop(permit)
        self._isolated.pop(permit, None)
        self._confirmed_at.pop(permit, None)
        return self.held.pop(permit, None) is not None

    def withdraw(self, permit: PermitId) -> bool:
        """End the wait of a request for its slot; false where it does not wait."""
        for pending in self.pending:
            if pending.permit == permit:
                self.pending.remove(pending)
                pending.granted.set(False)
                return True
        return False

    def renew(self, router: str, incarnation: int, permits: set[int], now: float) -> None:
        """Set the permits of a router to those it reports, keeping recent grants.

        A grant younger than ``GRANT_DELIVERY_SECONDS`` may not have reached the router yet.
        """
        for permit in [p for p in self.held if p[:2] == (router, incarnation)]:
            age = now - self._confirmed_at[permit]
            if permit[2] not in permits and age > GRANT_DELIVERY_SECONDS:
                self.release(permit)
        for number in permits:
            permit = (router, incarnation, number)
            self.held[permit] = self._confirmed_at[permit] = now

    def postpone(self, seconds: float, now: float) -> None:
        """Extend all permits and prefills by the duration of a process pause that is over now.

        What was granted or renewed since the pause stays as it is.
        """
        for permit, since in self.held.items():
            self.held[permit] = min(now, since + seconds)
        self.prefills.postpone(seconds, now)

    def release_matching(self, condition: Callable[[PermitId, float], bool]) -> bool:
        """Free the slots of all permits that meet a condition; tell whether there were any."""
        lost = [permit for permit, since in self.held.items() if condition(permit, since)]
        for permit in lost:
            self.release(permit)
        return bool(lost)
