"""Ask the keepers of targets for places."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING, Any

import gevent
from attrs import evolve, frozen
from result import Err, Ok, Result

from loomyard.rendezvous import choose
from loomyard_router.admission.keeper_watch import REPLY_SECONDS, KeeperWatch
from loomyard_router.admission.place_messages import (
    PlaceAnswer,
    PlaceRequest,
    PlacesHeld,
    PlacesReleased,
    PromptsRead,
)
from loomyard_router.announced.target_incarnation import TargetIncarnation

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.errors import Fault
    from loomyard_router.admission.place_keeper import PlaceKeeper
    from loomyard_router.admission.target_paces import TargetPaces
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.routed.routed_request import RoutedRequest

MILLISECONDS = 1000
STATEMENT_SECONDS = 1.0
# Requests under which so many targets ended run apart from each other: one of them ends the next
# one too, and whoever runs beside it then would be blamed with it.
APART_LEVEL = 2
# Notices that come together travel together.
GATHER_SECONDS = 0.002


class Verdict(Enum):
    """What came of an ask."""

    GRANTED = "granted"
    FULL = "full"
    UNREACHABLE = "unreachable"


@frozen(kw_only=True)
class AskOutcome:
    """What came of an ask; ``ticket`` is the place where there is one, 0 else.

    ``objection`` is why the keeper gave none; ``expected`` is in how many seconds after the grant
    it expects the first event.
    """

    verdict: Verdict
    ticket: int = 0
    objection: str = ""
    expected: float = 0.0


@frozen(kw_only=True)
class _Held:
    target: TargetIncarnation
    keeper: str


class PlaceClient:
    """Hold places by tickets, and tell each keeper what is held there."""

    def __init__(
        self,
        *,
        clock: Clock,
        members: Membership,
        peers: PeerLinks,
        keeper: PlaceKeeper,
        paces: TargetPaces,
    ) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._keeper = keeper
        self._paces = paces
        self._tickets = 0
        self._held: dict[int, _Held] = {}
        self._keepers: dict[TargetIncarnation, str] = {}
        self._owner_health = KeeperWatch(clock=clock, members=members, peers=peers)
        self._owner_health.subscribe(self._move)
        self.objections: Counter[str] = Counter()
        self._released: dict[str, list[int]] = {}
        self._read: dict[str, list[int]] = {}
        self._sending: set[str] = set()
        self._taken: dict[TargetIncarnation, int] = {}
        self._task: gevent.Greenlet | None = None
        members.subscribe(self._move)

    def start(self) -> None:
        """Start to state what is held."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End."""
        self._owner_health.stop()
        if self._task is not None:
            self._task.kill(block=False)

    def taken(self, target: AnnouncedTarget) -> int:
        """Return how many places of a target were taken when its keeper answered last."""
        return self._taken.get(target.incarnation, 0)

    @property
    def silent(self) -> frozenset[str]:
        """Return the keepers that do not answer."""
        return self._owner_health.silent

    def is_silent(self, target: AnnouncedTarget) -> bool:
        """Tell whether no keeper of a target can be asked."""
        return self._owner_health.is_silent(self.owner_of(target.incarnation))

    def ask(
        self,
        request: RoutedRequest,
        target: AnnouncedTarget,
        *,
        wait: float,
        first_event_by: float,
        level: float,
        used: float | None,
        cold_rate: float = 0.0,
    ) -> AskOutcome:
        """Ask for a place, waiting for up to some seconds.

        Where the keeper does not answer, its standby is asked, without waiting.
        By ``first_event_by`` the answer has to begin. ``level`` is what the account got in the
        fleet, ``used`` that in parts of its share, ``cold_rate`` the requests a second that a
        cold target bears, 0 for a warm one.
        """
        self._tickets += 1
        ticket = self._tickets
        message = PlaceRequest(
            target=target.incarnation,
            slots=target.slots,
            ticket=ticket,
            level=round(level),
            prompt=request.head.prompt_tokens,
            own=request.head.prompt[-1].id if request.head.prompt else "",
            parts=[(part.id, part.tokens) for part in request.head.prompt[:-1]],
            # What is late already may still begin where nothing is ahead of it.
            patience=max(1, int((first_event_by - self._clock.now()) * MILLISECONDS)),
            wait=int(max(0.0, wait) * MILLISECONDS),
            used=used or 0.0,
            cold_rate=cold_rate,
            apart=request.crash_count >= APART_LEVEL,
        )
        answer = self._request(message, wait) or self._request(evolve(message, wait=0), 0.0)
        if answer is None:
            return AskOutcome(verdict=Verdict.UNREACHABLE)
        self._taken[target.incarnation] = answer.taken
        if answer.pace is not None:
            self._paces.hear(target.incarnation, answer.pace)
        if not answer.granted:
            self.objections[answer.objection] += 1
            return AskOutcome(verdict=Verdict.FULL, objection=answer.objection)
        expected = answer.first_event / MILLISECONDS
        return AskOutcome(verdict=Verdict.GRANTED, ticket=ticket, expected=expected)

    def note_read(self, ticket: int) -> None:
        """Say that the prompt behind a place was read."""
        held = self._held.get(ticket)
        if held is None:
            return
        own = self._members.own
        if held.keeper == own.name:
            self._keeper.note_read(own, PromptsRead(tickets=[ticket]))
        else:
            self._read.setdefault(held.keeper, []).append(ticket)
            self._send_soon(held.keeper)

    def release(self, ticket: int) -> None:
        """Give a place back."""
        held = self._held.pop(ticket, None)
        if held is not None:
            self._queue_release(held.keeper, ticket)

    def forget(self, known: set[TargetIncarnation]) -> None:
        """Forget lives of targets that are not known any more."""
        for life in set(self._taken) - known:
            del self._taken[life]
        for life in set(self._keepers) - known:
            del self._keepers[life]

    def owner_of(self, life: TargetIncarnation) -> str:
        """Return the router that keeps the places of a target."""
        keeper = self._keepers.get(life)
        if keeper is None:
            keeper = choose(life, self._owner_health.candidates())
            self._keepers[life] = keeper
        return keeper

    def state(self, *, moved: bool = False) -> None:
        """State all places that are held to their keepers; with paces where those are new."""
        own = self._members.own
        by_keeper: dict[str, dict[TargetIncarnation, list[int]]] = {}
        for ticket, held in self._held.items():
            by_keeper.setdefault(held.keeper, {}).setdefault(held.target, []).append(ticket)
        for keeper, held_there in by_keeper.items():
            paces = self._paces.among(held_there) if moved else {}
            statement = PlacesHeld(held=held_there, paces=paces)
            if keeper == own.name:
                self._keeper.restate(own, statement)
            else:
                self._peers.send(keeper, statement)

    def _request(self, message: PlaceRequest, wait: float) -> PlaceAnswer | None:
        """Ask the keeper of a target; ``None`` where it does not answer."""
        keeper = self.owner_of(message.target)
        own = self._members.own
        if self._owner_health.is_silent(keeper):
            return None
        if message.apart and not self._is_rightful(message.target):
            # Others may still reach the keeper, and only one can tell what begins beside what.
            return None
        if keeper == own.name:
            answer = self._keeper.ask(own, message)
        else:
            deadline = self._clock.now() + wait + REPLY_SECONDS
            match self._peers.request(keeper, message, deadline):
                case Ok(PlaceAnswer() as answer):
                    self._owner_health.note_heard()
                case missed:
                    self._queue_release(keeper, message.ticket)
                    self._owner_health.note_silence(keeper, _detail(missed))
                    return None
        if answer.granted:
            self._held[message.ticket] = _Held(target=message.target, keeper=keeper)
        return answer

    def _is_rightful(self, life: TargetIncarnation) -> bool:
        """Tell whether a target is kept by the router that would keep it if all answered."""
        return self.owner_of(life) == choose(life, [one.name for one in self._members.live()])

    def _queue_release(self, keeper: str, ticket: int) -> None:
        own = self._members.own
        if keeper == own.name:
            self._keeper.release(own, PlacesReleased(tickets=[ticket]))
            return
        self._released.setdefault(keeper, []).append(ticket)
        self._send_soon(keeper)

    def _send_soon(self, keeper: str) -> None:
        if keeper not in self._sending:
            self._sending.add(keeper)
            gevent.spawn_later(GATHER_SECONDS, self._send, keeper)

    def _send(self, keeper: str) -> None:
        self._sending.discard(keeper)
        if read := self._read.pop(keeper, None):
            self._peers.send(keeper, PromptsRead(tickets=read))
        if released := self._released.pop(keeper, None):
            self._peers.send(keeper, PlacesReleased(tickets=released))

    def _move(self) -> None:
        """Tell new keepers at once what is held at their targets."""
        self._keepers.clear()
        for ticket, held in list(self._held.items()):
            keeper = self.owner_of(held.target)
            if keeper != held.keeper:
                self._held[ticket] = _Held(target=held.target, keeper=keeper)
        self.state(moved=True)

    def _run(self) -> None:
        while True:
            self._clock.sleep(STATEMENT_SECONDS)
            self.state()


def _detail(missed: Result[Any, Fault]) -> str:
    match missed:
        case Err(fault):
            return fault.detail
    return "it answered with another message"
