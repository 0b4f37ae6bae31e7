"""The ``fleet`` policy: fair over all routers, with slots leased to where the neediest wait."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent

from loomyard.events import Event, emit
from loomyard_router.members.membership import SoleMembership
from loomyard_router.shares.account_levels import AccountLevels
from loomyard_router.shares.admission import Admission
from loomyard_router.shares.allocator import Allocator
from loomyard_router.shares.allocator_selection import find_allocator
from loomyard_router.shares.capacity import Capacity
from loomyard_router.shares.fleet_size import FleetSize
from loomyard_router.shares.floor_admission import FloorAdmission
from loomyard_router.shares.give_back_pace import GiveBackPace
from loomyard_router.shares.held_slots import HeldSlots
from loomyard_router.shares.messages import ShareReply, ShareReport, ShareReset
from loomyard_router.shares.overdue import Overdue
from loomyard_router.shares.pacing import Pacer
from loomyard_router.shares.reporter import Reporter
from loomyard_router.shares.request_queues import RequestQueues
from loomyard_router.shares.share_sender import ShareSender
from loomyard_router.shares.short_ids import short_id
from loomyard_router.shares.slot_choice import SlotChoice

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
# While nothing waits or runs, only renewals of leases are due.
IDLE_INTERVAL = 0.1
MESSAGES_PER_SECOND = 16.0
BYTES_PER_SECOND = 1700.0
BYTES_PER_MESSAGE = 200.0
MESSAGE_BURST = 8.0
# A router that began less than this ago may not know yet that there are others.
JOINING = 1.5


class FleetPolicy:
    """Admit the neediest account of this router to leased slots; give slots to needier ones."""

    def __init__(
        self,
        clock: Clock,
        *,
        members: Membership,
        peers: PeerLinks,
        directory: TargetDirectory,
        joining: float,
        byte_rate: float,
    ) -> None:
        self._clock = clock
        self._queues = RequestQueues(clock)
        self._levels = AccountLevels()
        self._held = HeldSlots()
        self._overdue = Overdue()
        self._pace = GiveBackPace()
        self._capacity = Capacity(directory)
        self._choice = SlotChoice(
            queues=self._queues,
            levels=self._levels,
            overdue=self._overdue,
            capacity=self._capacity,
            directory=directory,
        )
        self._floor = FloorAdmission(
            members=members,
            queues=self._queues,
            levels=self._levels,
            choice=self._choice,
            start=self._start,
        )
        self._exchanging = False
        self._task: Greenlet | None = None
        messages = max(MESSAGES_PER_SECOND, byte_rate / BYTES_PER_MESSAGE)
        pacer = Pacer(messages=messages, size=byte_rate, burst=MESSAGE_BURST)
        sender = ShareSender(members, peers, deliver=self._deliver)
        self._reporter = Reporter(
            members=members,
            find_allocator=find_allocator,
            send=sender.send,
            pacer=pacer,
            queues=self._queues,
            levels=self._levels,
            held=self._held,
            overdue=self._overdue,
        )
        self._allocator = Allocator(
            clock,
            capacity=self._capacity,
            live=members.live,
            fleet_size=FleetSize(members).count,
            joined_at=clock.now() + joining,
            send=sender.send,
            pacer=pacer,
        )
        peers.handle(ShareReport, self._handle_report)
        peers.handle(ShareReply, self._handle_reply)
        peers.handle(ShareReset, self._handle_reset)
        members.subscribe(self._allocator.take_members)
        directory.subscribe(self._allocator.touch)

    @property
    def held(self) -> HeldSlots:
        """Return the slots that this router holds."""
        return self._held

    @property
    def allocator(self) -> Allocator:
        """Return the allocator, idle while another router is chosen."""
        return self._allocator

    @property
    def _idle(self) -> bool:
        return not (self._levels.active or self._reporter.urgent or self._allocator.busy)

    def submit(self, waiting: WaitingRequest) -> Result[None, Fault]:
        pushed = self._queues.push(waiting)
        if pushed.is_ok():
            account = short_id(waiting.account.metadata.name)
            self._levels.begin(account, self._reporter.told.floor(self._clock.now()))
            self._admit()
            self._note_waiting(waiting)
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
        self._floor.end(admission.waiting.service.metadata.name)
        self._levels.end(short_id(admission.waiting.account.metadata.name))
        self._admit()
        self._exchange()

    def reconfigure(self, routing: Routing) -> None:
        self._capacity.reconfigure(routing)
        self._allocator.touch()
        self._admit()

    def start(self) -> None:
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        if self._task is not None:
            self._task.kill()
        self._held.lapse()
        self._reporter.urgent = True
        self._exchange()

    def poll(self) -> None:
        """Do what has become due."""
        self._admit()
        self._exchange()

    def waiting(self, service: str) -> int:
        """Return how many requests of a service wait in the fleet, as far as reported here."""
        return self._allocator.waiting(short_id(service))

    def _run(self) -> None:
        while True:
            self._clock.sleep(IDLE_INTERVAL if self._idle else POLL_INTERVAL)
            try:
                self.poll()
            except Exception as error:  # the policy must outlive a fault of one round
                emit(logger, Event.HANDLER_FAILED, task="shares", error=repr(error))

    def _exchange(self) -> None:
        """Send what is due; what arrives meanwhile, from this router itself, waits its turn."""
        if self._exchanging:
            return
        self._exchanging = True
        try:
            now = self._clock.now()
            self._give_back_idle(now)
            self._reporter.poll(now)
            self._allocator.poll()
        finally:
            self._exchanging = False

    def _note_waiting(self, waiting: WaitingRequest) -> None:
        service, account = waiting.service.metadata.name, waiting.account.metadata.name
        if count := self._queues.length(service, account):
            self._reporter.note_waiting(short_id(account), short_id(service), count)

    def _admit(self) -> None:
        now = self._clock.now()
        if not self._held.valid(now):
            self._floor.admit(now)
            return
        free = self._held.free(now)
        while free and (waiting := self._choice.find_neediest(free, now)) is not None:
            target = self._choice.choose_target(waiting, free)
            free[target] -= 1
            if not free[target]:
                del free[target]
            if not self._reporter.may_send(now) or self._keeps(waiting, now):
                self._start(waiting, target, now)
            else:
                self._held.give_back(target)
                self._reporter.urgent = True

    def _keeps(self, waiting: WaitingRequest, now: float) -> bool:
        if self._overdue.applies(waiting, now):
            return True
        level = self._levels.level(short_id(waiting.account.metadata.name))
        service = short_id(waiting.service.metadata.name)
        excess = self._reporter.told.excess(service, level, now)
        return not self._pace.is_due(service, excess, now)

    def _start(self, waiting: WaitingRequest, target: bytes, now: float) -> None:
        service, account = waiting.service.metadata.name, waiting.account.metadata.name
        taken = self._queues.pop(service, account)
        assert taken is waiting
        self._held.take(target)
        self._floor.begin(service)
        self._overdue.note(waiting, now)
        admission = Admission(
            waiting=waiting, target=waiting.targets_by_id[target], admitted_at=now
        )
        self.charge(admission, waiting.estimate)
        waiting.admitted.set(admission)

    def _give_back_idle(self, now: float) -> None:
        """Give back free slots that somebody else could use."""
        if not self._reporter.told or not self._reporter.may_send(now):
            return
        for target, slots in self._held.free(now).items():
            if any(service in self._reporter.told for service in self._capacity.services(target)):
                self._held.give_back(target, slots)
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
    """Make the ``fleet`` policy; ``byte_rate`` bounds what it sends, in bytes a second."""
    joining = 0.0 if isinstance(members, SoleMembership) else JOINING
    return FleetPolicy(
        clock,
        members=members,
        peers=peers,
        directory=directory,
        joining=joining,
        byte_rate=byte_rate,
    )
