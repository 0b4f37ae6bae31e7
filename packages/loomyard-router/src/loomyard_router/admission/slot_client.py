"""Request slots from the slot owners of targets and keep the permits renewed."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING, Any

from attrs import evolve, frozen
from result import Err, Ok, Result

from loomyard.rendezvous import choose
from loomyard_router.admission.owner_health import REPLY_SECONDS, OwnerHealth
from loomyard_router.admission.slot_messages import (
    PromptsRead,
    SlotReply,
    SlotRequest,
    SlotsHeld,
    SlotsReleased,
)
from loomyard_router.announced.target_incarnation import TargetLife
from loomyard_router.answer_wait import run_loop_pass
from loomyard_router.supervision.tasks import start_supervised, start_task_later

if TYPE_CHECKING:
    import gevent

    from loomyard.clock import Clock
    from loomyard.errors import Fault
    from loomyard_router.admission.slot_owner import SlotOwner
    from loomyard_router.admission.target_estimates import TargetEstimates
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.lag.lagging_routers import RouterFitness
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.routed.routed_request import RoutedRequest

MILLISECONDS = 1000
RENEWAL_SECONDS = 1.0
# A renewal that is later than this means that the process paused, or that its VM was suspended.
LATE_SECONDS = 0.1
# Requests under which this many targets crashed are isolated from each other: a poison request
# crashes the next target too, and a harmless one that runs beside it would be suspected with it.
ISOLATION_THRESHOLD = 2
# Releases and first tokens to the same slot owner are batched for this time.
BATCH_SECONDS = 0.002
# Stated in place of a refusal reason where no slot owner replied.
NO_REPLY = "no_reply"


class SlotStatus(Enum):
    """Result of a request for a slot."""

    GRANTED = "granted"
    FULL = "full"
    UNREACHABLE = "unreachable"


@frozen(kw_only=True)
class SlotOutcome:
    """Result of a request for a slot; ``permit`` is its number where it was granted, else 0.

    ``refusal_reason`` is that of the slot owner, or ``NO_REPLY``; ``ttft`` is the time to first
    token in seconds, as predicted with the grant.
    """

    status: SlotStatus
    permit: int = 0
    refusal_reason: str = ""
    ttft: float = 0.0


@frozen(kw_only=True)
class _Held:
    """A permit; ``counted_by`` are the owners that count it until it is released."""

    target: TargetLife
    owner: str
    counted_by: frozenset[str]


class SlotClient:
    """Hold permits for slots, and report to each slot owner which ones are held."""

    def __init__(
        self,
        *,
        clock: Clock,
        members: Membership,
        peers: PeerLinks,
        local_owner: SlotOwner,
        estimates: TargetEstimates,
        fitness: RouterFitness | None = None,
    ) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._local_owner = local_owner
        self._estimates = estimates
        self._last_permit = 0
        self._held: dict[int, _Held] = {}
        # Owners that count permits of this router, or did when it last reported to them.
        self._counting: set[str] = set()
        self._owners: dict[TargetLife, str] = {}
        self._owner_health = OwnerHealth(clock=clock, members=members, peers=peers, fitness=fitness)
        self._owner_health.subscribe(self._update_owners)
        self.refusals: Counter[str] = Counter()
        self._released: dict[str, list[int]] = {}
        self._read: dict[str, list[int]] = {}
        self._sending: set[str] = set()
        self._slots_in_use: dict[TargetLife, int] = {}
        self._task: gevent.Greenlet | None = None
        members.subscribe(self._update_owners)

    def start(self) -> None:
        """Start to renew the held permits periodically."""
        self._task = start_supervised("slot permits", self._clock, self._run)

    def stop(self) -> None:
        """Stop renewals and probes."""
        self._owner_health.stop()
        if self._task is not None:
            self._task.kill(block=False)

    def slots_in_use(self, target: AnnouncedTarget) -> int:
        """Return how many slots of a target were in use when its owner last replied."""
        return self._slots_in_use.get(target.incarnation, 0)

    @property
    def unresponsive(self) -> frozenset[str]:
        """Return the names of the slot owners that do not answer."""
        return self._owner_health.unresponsive

    def is_unresponsive(self, target: AnnouncedTarget) -> bool:
        """Tell whether the slot owner of a target does not answer."""
        return self._owner_health.is_unresponsive(self.owner_of(target.incarnation))

    def request(
        self,
        request: RoutedRequest,
        target: AnnouncedTarget,
        *,
        wait: float,
        first_token_by: float,
        usage: float,
        share_used: float | None,
        cold_rate: float = 0.0,
    ) -> SlotOutcome:
        """Request a slot of a target, waiting up to ``wait`` seconds.

        Where the slot owner does not reply, its stand-in is asked, without waiting. The first token
        is due at ``first_token_by``. ``usage`` is that of the account in the fleet, in tokens,
        ``share_used`` the same as a multiple of its share, and ``cold_rate`` the requests a second
        that a cold target may get, 0 for a warm one.
        """
        self._last_permit += 1
        permit = self._last_permit
        message = SlotRequest(
            target=target.incarnation,
            slots=target.slots,
            permit=permit,
            usage=round(usage),
            prompt_tokens=request.head.prompt_tokens,
            unshared_part=request.head.prompt[-1].id if request.head.prompt else "",
            shared_parts=[(part.id, part.tokens) for part in request.head.prompt[:-1]],
            # At least 1, as 0 means no bound: a late request may start where no prompt is ahead.
            first_token_ms=max(1, int((first_token_by - self._clock.now()) * MILLISECONDS)),
            wait_ms=int(max(0.0, wait) * MILLISECONDS),
            share_used=share_used or 0.0,
            cold_rate=cold_rate,
            isolated=request.crash_count >= ISOLATION_THRESHOLD,
        )
        reply = self._send_request(message, wait) or self._send_request(
            evolve(message, wait_ms=0), 0.0
        )
        if reply is None:
            self.refusals[NO_REPLY] += 1
            return SlotOutcome(status=SlotStatus.UNREACHABLE, refusal_reason=NO_REPLY)
        self._slots_in_use[target.incarnation] = reply.slots_in_use
        if reply.estimate is not None:
            self._estimates.record(target.incarnation, reply.estimate)
        if not reply.granted:
            self.refusals[reply.refusal_reason] += 1
            return SlotOutcome(status=SlotStatus.FULL, refusal_reason=reply.refusal_reason)
        ttft = reply.ttft_ms / MILLISECONDS
        return SlotOutcome(status=SlotStatus.GRANTED, permit=permit, ttft=ttft)

    def record_first_token(self, permit: int) -> None:
        """Notify the slot owner that the first token of an answer has come."""
        held = self._held.get(permit)
        if held is None:
            return
        own = self._members.own
        if held.owner == own.name:
            self._local_owner.record_first_tokens(own, PromptsRead(permits=[permit]))
        else:
            self._read.setdefault(held.owner, []).append(permit)
            self._send_soon(held.owner)

    def release(self, permit: int) -> None:
        """Return the slot of a permit to all owners that count it.

        One that stood still as the permit moved reads that when it goes on.
        """
        held = self._held.pop(permit, None)
        if held is not None:
            for owner in held.counted_by:
                self._queue_release(owner, permit)

    def retain(self, known: set[TargetLife]) -> None:
        """Drop what is cached of all other incarnations."""
        for incarnation in set(self._slots_in_use) - known:
            del self._slots_in_use[incarnation]
        for incarnation in set(self._owners) - known:
            del self._owners[incarnation]

    def owner_of(self, incarnation: TargetLife) -> str:
        """Return the name of the slot owner of a target."""
        owner = self._owners.get(incarnation)
        if owner is None:
            owner = choose(incarnation, self._owner_health.candidates())
            self._owners[incarnation] = owner
        return owner

    def renew(self, *, moved: bool = False) -> None:
        """Report all held permits to their slot owners; with the estimates where owners changed.

        An owner that counted permits of this router gets one more report without any, as it may
        have missed releases.
        """
        own = self._members.own
        live = {member.name for member in self._members.live()}
        by_owner: dict[str, dict[TargetLife, list[int]]] = {
            owner: {} for owner in self._counting & live
        }
        for permit, held in self._held.items():
            for owner in held.counted_by & live:
                by_owner.setdefault(owner, {}).setdefault(held.target, []).append(permit)
        for owner, held_there in by_owner.items():
            estimates = self._estimates.among(held_there) if moved else {}
            renewal = SlotsHeld(held=held_there, estimates=estimates)
            if owner == own.name:
                self._local_owner.renew(own, renewal)
            else:
                self._peers.send(owner, renewal)
        counting = {owner for owner, held_there in by_owner.items() if held_there}
        self._counting = counting | (self._counting - live)

    def _send_request(self, message: SlotRequest, wait: float) -> SlotReply | None:
        """Ask the slot owner of a target; ``None`` where it does not reply."""
        owner = self.owner_of(message.target)
        own = self._members.own
        if self._owner_health.is_unresponsive(owner):
            return None
        if message.isolated and not self._is_ranked_first(message.target):
            # Other routers may still reach the regular owner, and only one router can make sure
            # that no two suspected requests start at the same target.
            return None
        if owner == own.name:
            reply = self._local_owner.request(own, message)
        else:
            deadline = self._clock.now() + wait + REPLY_SECONDS
            match self._peers.request(owner, message, deadline):
                case Ok(SlotReply() as reply):
                    self._owner_health.record_reply()
                case failed:
                    self._queue_release(owner, message.permit)
                    self._owner_health.record_timeout(owner, _detail(failed))
                    return None
        if reply.granted:
            self._counting.add(owner)
            self._held[message.permit] = _Held(
                target=message.target, owner=owner, counted_by=frozenset([owner])
            )
        return reply

    def _is_ranked_first(self, incarnation: TargetLife) -> bool:
        """Tell whether the owner of a target would be the same if all of them answered."""
        return self.owner_of(incarnation) == choose(
            incarnation, self._owner_health.regular_candidates()
        )

    def _queue_release(self, owner: str, permit: int) -> None:
        own = self._members.own
        if owner == own.name:
            self._local_owner.release(own, SlotsReleased(permits=[permit]))
            return
        self._released.setdefault(owner, []).append(permit)
        self._send_soon(owner)

    def _send_soon(self, owner: str) -> None:
        if owner not in self._sending:
            self._sending.add(owner)
            start_task_later(BATCH_SECONDS, "slot permits", self._send, owner)

    def _send(self, owner: str) -> None:
        self._sending.discard(owner)
        if read := self._read.pop(owner, None):
            self._peers.send(owner, PromptsRead(permits=read))
        if released := self._released.pop(owner, None):
            self._peers.send(owner, SlotsReleased(permits=released))

    def _update_owners(self) -> None:
        """Report the held permits to the new owners of their targets at once."""
        self._owners.clear()
        for permit, held in list(self._held.items()):
            owner = self.owner_of(held.target)
            if owner != held.owner:
                self._held[permit] = _Held(
                    target=held.target, owner=owner, counted_by=held.counted_by | {owner}
                )
        self.renew(moved=True)

    def _run(self) -> None:
        while True:
            due = self._clock.now() + RENEWAL_SECONDS
            self._clock.sleep(RENEWAL_SECONDS)
            if self._clock.now() - due > LATE_SECONDS:
                # Grants that wait in the sockets are held as well.
                run_loop_pass(self._clock)
            self.renew()


def _detail(failed: Result[Any, Fault]) -> str:
    match failed:
        case Err(fault):
            return fault.detail
    return "unexpected type of reply"
