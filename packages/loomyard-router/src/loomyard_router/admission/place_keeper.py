"""Keep the places of some targets for the whole fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent import Timeout

from loomyard_router.admission.place_book import Ask, PlaceBook
from loomyard_router.admission.place_messages import (
    PlaceAnswer,
    PlaceRequest,
    PlacesHeld,
    PlacesReleased,
    PromptsRead,
)
from loomyard_router.admission.serving_order import GapForTheLeastServed, ServingOrder
from loomyard_router.announced.cold_targets import UNLIMITED
from loomyard_router.members.pause_detector import PauseDetector

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.admission.prefill_estimate import PrefillEstimate
    from loomyard_router.admission.target_paces import TargetPaces
    from loomyard_router.announced.cold_targets import ColdTargets
    from loomyard_router.announced.target_incarnation import TargetIncarnation
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

MILLISECONDS = 1000.0
# Routers state what they hold every second; after some silence their places are free.
SILENCE_SECONDS = 5.0
SWEEP_SECONDS = 1.0
# A router that is this much late stood still, or its VM was suspended.
PAUSE_SECONDS = 0.5


class PlaceKeeper:
    """Give places to routers, the client account that got least first.

    An account that has had its share is given free places only up to a part, so that the others
    find engines that answer in time. Who got what is known to the routers that ask.

    Which router keeps a target follows from the live routers; where two of them keep one for a
    moment, a target gets more than its slots, and its own queue takes the rest.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        registry: TargetRegistry,
        members: Membership,
        peers: PeerLinks,
        cold: ColdTargets,
        paces: TargetPaces,
        order: ServingOrder | None = None,
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._cold = cold
        self._paces = paces
        self._order = order or GapForTheLeastServed()
        self._members = members
        self._books: dict[TargetIncarnation, PlaceBook] = {}
        self._task: gevent.Greenlet | None = None
        peers.handle(PlaceRequest, self.ask)
        peers.handle(PlacesReleased, self.release)
        peers.handle(PromptsRead, self.note_read)
        peers.handle(PlacesHeld, self.restate)
        members.subscribe(self._drop_dead)
        registry.subscribe(self._end_closed)

    def start(self) -> None:
        """Start to drop places of routers that fell silent."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.kill(block=False)

    def ask(self, member: Member, request: PlaceRequest) -> PlaceAnswer:
        """Give a place, waiting for one as long as the request says."""
        book = self._open(request.target, request.slots)
        book.slots = request.slots
        # Whoever of both has heard that the target is cold is right: the other has not yet.
        book.cold.per_second = request.cold_rate or self._cold_rate(request.target)
        ticket = (member.name, member.incarnation, request.ticket)
        ask = Ask(ticket, request, self._clock.now() + request.patience / MILLISECONDS)
        closed = self._registry.is_withdrawn(request.target)
        granted = not closed and self._wait(book, ask)
        if not granted and not closed:
            book.note_refused(request)
        return self._answer(book, ask, granted=granted)

    def note_read(self, member: Member, read: PromptsRead) -> None:
        """Take in which prompts were read, and admit who waited for that."""
        now = self._clock.now()
        for number in read.tickets:
            ticket = (member.name, member.incarnation, number)
            for book in self._books.values():
                if book.note_read(ticket, now):
                    self._serve(book)
                    break

    def release(self, member: Member, released: PlacesReleased) -> None:
        """Take places back and give them to who waits."""
        for number in released.tickets:
            ticket = (member.name, member.incarnation, number)
            for book in self._books.values():
                if book.release(ticket):
                    self._serve(book)
                    break

    def restate(self, member: Member, statement: PlacesHeld) -> None:
        """Take over all that a router holds here."""
        now = self._clock.now()
        for target, tickets in statement.held.items():
            book = self._open(target, 1, statement.paces.get(target))
            book.restate(member.name, member.incarnation, set(tickets), now)
        for target, book in self._books.items():
            if target not in statement.held:
                book.restate(member.name, member.incarnation, set(), now)
            self._serve(book)

    def sweep(self) -> None:
        """Free the places of which nothing was heard for long."""
        oldest = self._clock.now() - SILENCE_SECONDS
        known = {target.incarnation for target in self._registry.listed()}
        for life, book in list(self._books.items()):
            if book.drop(lambda _, since: since < oldest):
                self._serve(book)
            if not book.held and not book.waiting and life not in known:
                del self._books[life]

    def _open(
        self, life: TargetIncarnation, slots: int, told: PrefillEstimate | None = None
    ) -> PlaceBook:
        """Return the book of a target, made with what is believed of its pace where it is new."""
        book = self._books.get(life)
        if book is None:
            book = self._books[life] = PlaceBook(slots)
            target = self._registry.find(life)
            others = () if target is None else self._registry.usable(target.service)
            book.prompts.model.believed = told or self._paces.believed(
                life, (other.incarnation for other in others)
            )
        return book

    def _answer(self, book: PlaceBook, ask: Ask, *, granted: bool) -> PlaceAnswer:
        now = self._clock.now()
        objection = None if granted else book.object_to(ask, now)
        pace = book.prompts.model.pace(now) if ask.request.prompt else None
        if pace is not None:
            self._paces.hear(ask.request.target, pace)
        return PlaceAnswer(
            granted=granted,
            taken=len(book.held) + len(book.waiting),
            objection="" if objection is None else objection.value,
            first_event=round(ask.expected * MILLISECONDS),
            pace=pace,
        )

    def _cold_rate(self, life: TargetIncarnation) -> float:
        target = self._registry.find(life)
        return UNLIMITED if target is None else self._cold.rate_limit(target)

    def _wait(self, book: PlaceBook, ask: Ask) -> bool:
        book.waiting.append(ask)
        # Others may wait for what this one does not need: a smaller prompt, a part of the places.
        self._serve(book)
        try:
            if ask.request.wait and not ask.granted.ready():
                with Timeout(ask.request.wait / MILLISECONDS, False):
                    ask.granted.get()
        finally:
            if ask in book.waiting:
                book.waiting.remove(ask)
        return bool(ask.granted.ready() and ask.granted.get())

    def _serve(self, book: PlaceBook) -> None:
        """Give free places to who waits; who is not admitted waits on."""
        while book.waiting:
            admitted = self._order.choose(book, self._clock.now())
            if admitted is None:
                return
            book.waiting.remove(admitted)
            book.grant(admitted, self._clock.now())
            admitted.granted.set(True)

    def _end_closed(self) -> None:
        """Send on who waits at targets that have begun to leave, while other targets have time."""
        for life, book in self._books.items():
            if book.waiting and self._registry.is_withdrawn(life):
                waiting, book.waiting = book.waiting, []
                for ask in waiting:
                    ask.granted.set(False)

    def _drop_dead(self) -> None:
        live = {(member.name, member.incarnation) for member in self._members.live()}
        for book in self._books.values():
            if book.drop(lambda ticket, _: ticket[:2] not in live):
                self._serve(book)

    def _run(self) -> None:
        pause = PauseDetector(slack=PAUSE_SECONDS, bound=PAUSE_SECONDS, due=self._clock.now())
        while True:
            pause.due = self._clock.now() + SWEEP_SECONDS
            self._clock.sleep(SWEEP_SECONDS)
            late, paused = pause.check(self._clock.now())
            if paused:
                # It heard nobody meanwhile, so nobody's silence counts for that time.
                for book in self._books.values():
                    book.postpone(late)
            self.sweep()
