"""The ``fleet`` policy: fair over all routers, with slots leased to routers by an allocator."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard_router.members.membership import SoleMembership
from loomyard_router.shares.account_levels import AccountLevels
from loomyard_router.shares.admission import Admission
from loomyard_router.shares.allocator import Allocator
from loomyard_router.shares.allocator_selection import find_allocator
from loomyard_router.shares.capacity import Capacity
from loomyard_router.shares.fallback_admission import FallbackAdmission
from loomyard_router.shares.fleet_size import FleetSize
from loomyard_router.shares.held_slots import HeldSlots
from loomyard_router.shares.message_budget import MessageBudget
from loomyard_router.shares.messages import ShareReply, ShareReport, ShareReset
from loomyard_router.shares.reporter import Reporter
from loomyard_router.shares.request_queues import RequestQueues
from loomyard_router.shares.share_sender import ShareSender
from loomyard_router.shares.short_ids import short_id
from loomyard_router.shares.slot_choice import SlotChoice
from loomyard_router.shares.slot_return_limiter import SlotReturnLimiter
from loomyard_router.shares.starvation_tracker import StarvationTracker
from loomyard_router.supervision.guard import call_guarded
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    from gevent import Greenlet
    from result import Result

    from loomyard.clock import Clock
    from loomyard.errors import Fault
    from loomyard.routing import Routing
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.shares.share_sender import ShareMessage
    from loomyard_router.shares.waiting import WaitingRequest
    from loomyard_router.targets.directory import TargetDirectory

logger = logging.getLogger(__name__)

POLL_INTERVAL = 0.02
# While no request waits or runs, only leases have to be renewed.
IDLE_INTERVAL = 0.1
MESSAGES_PER_SECOND = 16.0
BYTES_PER_SECOND = 1700.0
BYTES_PER_MESSAGE = 200.0
MESSAGE_BURST = 8.0
# Seconds after its start until a router may assume that it knows the other routers.
JOIN_WAIT = 1.5


class FleetPolicy:
    """Admit the lowest-level account here to leased slots; return slots needed elsewhere."""

    def __init__(
        self,
        clock: Clock,
        *,
        members: Membership,
        peers: PeerLinks,
        directory: TargetDirectory,
        join_wait: float,
        byte_rate: float,
    ) -> None:
        self._clock = clock
        self._queues = RequestQueues(clock)
        self._levels = AccountLevels()
        self._held = HeldSlots()
        self._starvation = StarvationTracker()
        self._return_limiter = SlotReturnLimiter()
        self._capacity = Capacity(directory)
        self._choice = SlotChoice(
            queues=self._queues,
            levels=self._levels,
            starvation=self._starvation,
            capacity=self._capacity,
            directory=directory,
        )
        self._fallback = FallbackAdmission(
            members=members,
            queues=self._queues,
            levels=self._levels,
            choice=self._choice,
            start=self._start,
        )
        self._exchanging = False
        self._task: Greenlet | None = None
        messages = max(MESSAGES_PER_SECOND, byte_rate / BYTES_PER_MESSAGE)
        budget = MessageBudget(messages=messages, size=byte_rate, burst=MESSAGE_BURST)
        sender = ShareSender(members, peers, deliver=self._deliver)
        self._reporter = Reporter(
            members=members,
            find_allocator=find_allocator,
            send=sender.send,
            budget=budget,
            queues=self._queues,
            levels=self._levels,
            held=self._held,
            starvation=self._starvation,
        )
        self._allocator = Allocator(
            clock,
            capacity=self._capacity,
            live=members.live,
            fleet_size=FleetSize(members).count,
            joined_at=clock.now() + join_wait,
            send=sender.send,
            budget=budget,
        )
        peers.handle(ShareReport, self._handle_report)
        peers.handle(ShareReply, self._handle_reply)
        peers.handle(ShareReset, self._handle_reset)
        members.subscribe(self._allocator.mark_members_changed)
        directory.subscribe(self._allocator.mark_capacity_changed)

    @property
    def held(self) -> HeldSlots:
        """Return the slots that this router holds by lease."""
        return self._held

    @property
    def allocator(self) -> Allocator:
        """Return this router's allocator, which is idle while another router is selected."""
        return self._allocator

    @property
    def _idle(self) -> bool:
        return not (self._levels.active or self._reporter.urgent or self._allocator.busy)

    def submit(self, waiting: WaitingRequest) -> Result[None, Fault]:
        pushed = self._queues.push(waiting)
        if pushed.is_ok():
            account = short_id(waiting.account.metadata.name)
            self._levels.begin(account, self._reporter.remote.min_level(self._clock.now()))
            self._admit()
            self._check_backlog(waiting)
            self._exchange()
        return pushed

    def withdraw(self, waiting: WaitingRequest) -> bool:
        removed = self._queues.remove(waiting)
        if removed:
            self._levels.end(short_id(waiting.account.metadata.name))
        return removed

    def charge(self, admission: Admission, cost: float) -> None:
        self._levels.add(admission.waiting.account, cost - admission.charged)
        admission.charged = cost

    def finish(self, admission: Admission, cost: float) -> None:
        self.charge(admission, cost)
        self._held.release(short_id(admission.target.metadata.name))
        self._fallback.end_request(admission.waiting.service.metadata.name)
        self._levels.end(short_id(admission.waiting.account.metadata.name))
        self._admit()
        self._exchange()

    def reconfigure(self, routing: Routing) -> None:
        self._capacity.reconfigure(routing)
        self._allocator.mark_capacity_changed()
        self._admit()

    def start(self) -> None:
        self._task = start_supervised("shares", self._clock, self._run)

    def stop(self) -> None:
        if self._task is not None:
            self._task.kill()
        self._held.clear_limits()
        self._reporter.urgent = True
        self._exchange()

    def poll(self) -> None:
        """Admit requests and send the messages that have become due."""
        self._admit()
        self._exchange()

    def waiting(self, service: str) -> int:
        """Return how many requests of a service wait in the fleet, as reported to this router."""
        return self._allocator.waiting(short_id(service))

    def _run(self) -> None:
        while True:
            self._clock.sleep(IDLE_INTERVAL if self._idle else POLL_INTERVAL)
            call_guarded("shares", self.poll)

    def _exchange(self) -> None:
        """Send due messages, unless called while doing so by a message to this router itself."""
        if self._exchanging:
            return
        self._exchanging = True
        try:
            now = self._clock.now()
            self._return_idle_slots(now)
            self._reporter.poll(now)
            self._allocator.poll()
        finally:
            self._exchanging = False

    def _check_backlog(self, waiting: WaitingRequest) -> None:
        service, account = waiting.service.metadata.name, waiting.account.metadata.name
        if count := self._queues.length(service, account):
            self._reporter.check_backlog(short_id(account), short_id(service), count)

    def _admit(self) -> None:
        now = self._clock.now()
        if not self._held.is_valid(now):
            self._fallback.admit(now)
            return
        free = self._held.free(now)
        while free and (waiting := self._choice.find_next(free, now)) is not None:
            target = self._choice.choose_target(waiting, free)
            free[target] -= 1
            if not free[target]:
                del free[target]
            if not self._reporter.can_report(now) or self._keeps_slot(waiting, now):
                self._start(waiting, target, now)
            else:
                self._held.return_slots(target)
                self._reporter.urgent = True

    def _keeps_slot(self, waiting: WaitingRequest, now: float) -> bool:
        if self._starvation.is_starved(waiting, now):
            return True
        level = self._levels.level(short_id(waiting.account.metadata.name))
        service = short_id(waiting.service.metadata.name)
        excess = self._reporter.remote.excess(service, level, now)
        return not self._return_limiter.should_return(service, excess, now)

    def _start(self, waiting: WaitingRequest, target: bytes, now: float) -> None:
        service, account = waiting.service.metadata.name, waiting.account.metadata.name
        popped = self._queues.pop(service, account)
        assert popped is waiting
        self._held.acquire(target)
        self._fallback.begin_request(service)
        self._starvation.record_admission(waiting, now)
        admission = Admission(
            waiting=waiting, target=waiting.targets_by_id[target], admitted_at=now
        )
        self.charge(admission, waiting.estimate)
        waiting.admitted.set(admission)

    def _return_idle_slots(self, now: float) -> None:
        """Return free slots for whose services requests wait at other routers."""
        if not self._reporter.remote or not self._reporter.can_report(now):
            return
        for target, slots in self._held.free(now).items():
            if any(service in self._reporter.remote for service in self._capacity.services(target)):
                self._held.return_slots(target, slots)
                self._reporter.urgent = True

    def _handle_report(self, sender: Member, report: ShareReport) -> None:
        self._allocator.handle_report(sender, report)
        self._exchange()

    def _handle_reply(self, sender: Member, reply: ShareReply) -> None:
        if self._reporter.accept(reply, self._clock.now()):
            self._admit()
            self._exchange()

    def _handle_reset(self, sender: Member, reset: ShareReset) -> None:
        if self._reporter.is_session(reset.session):
            self._reporter.begin_session()
            self._exchange()

    def _deliver(self, own: Member, message: ShareMessage) -> None:
        match message:
            case ShareReport():
                self._allocator.handle_report(own, message)
            case ShareReply():
                self._handle_reply(own, message)
            case ShareReset():
                self._handle_reset(own, message)


def make_fleet_policy(
    clock: Clock,
    *,
    members: Membership,
    peers: PeerLinks,
    directory: TargetDirectory,
    byte_rate: float = BYTES_PER_SECOND,
) -> FleetPolicy:
    """Return a ``fleet`` policy that sends at most ``byte_rate`` bytes a second to its peers."""
    join_wait = 0.0 if isinstance(members, SoleMembership) else JOIN_WAIT
    return FleetPolicy(
        clock,
        members=members,
        peers=peers,
        directory=directory,
        join_wait=join_wait,
        byte_rate=byte_rate,
    )
