"""Ask the keepers of targets for places."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import gevent
from attrs import frozen
from result import Ok

from loomyard.rendezvous import choose
from loomyard_router.admission.place_messages import (
    PlaceAnswer,
    PlaceRequest,
    PlacesHeld,
    PlacesReleased,
    PromptsRead,
)
from loomyard_router.announced.target_life import TargetLife

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.admission.place_keeper import PlaceKeeper
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.routed.routed_request import RoutedRequest

MILLISECONDS = 1000
# Two ways between data centres and a turn of the other router's loop take a few milliseconds.
REPLY_SECONDS = 0.06
# A keeper that did not answer is left alone until membership had time to judge it.
SILENT_SECONDS = 0.5
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
class _Held:
    target: TargetLife
    keeper: str


class PlaceClient:
    """Hold places by tickets, and tell each keeper what is held there."""

    def __init__(
        self, *, clock: Clock, members: Membership, peers: PeerLinks, keeper: PlaceKeeper
    ) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._keeper = keeper
        self._tickets = 0
        self._held: dict[int, _Held] = {}
        self._keepers: dict[TargetLife, str] = {}
        self._silent_until: dict[str, float] = {}
        self._released: dict[str, list[int]] = {}
        self._read: dict[str, list[int]] = {}
        self._sending: set[str] = set()
        self._taken: dict[TargetLife, int] = {}
        self._task: gevent.Greenlet | None = None
        members.subscribe(self._move)

    def start(self) -> None:
        """Start to state what is held."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.kill(block=False)

    def taken(self, target: AnnouncedTarget) -> int:
        """Return how many places of a target were taken when its keeper answered last."""
        return self._taken.get(target.life, 0)

    def is_silent(self, target: AnnouncedTarget) -> bool:
        """Tell whether the keeper of a target is left alone, since it did not answer."""
        keeper = self.keeper_of(target.life)
        return self._clock.now() < self._silent_until.get(keeper, 0.0)

    def ask(
        self,
        request: RoutedRequest,
        target: AnnouncedTarget,
        *,
        wait: float,
        patience: float,
        level: float,
        beyond: bool,
        cold_rate: float = 0.0,
    ) -> tuple[Verdict, int]:
        """Ask for a place, waiting for up to some seconds; return the ticket where there is one.

        ``level`` is what the account got in the fleet, ``beyond`` whether it has had its share,
        ``cold_rate`` the requests a second that a cold target bears, 0 for a warm one.
        """
        keeper = self.keeper_of(target.life)
        own = self._members.own
        if self.is_silent(target):
            return Verdict.UNREACHABLE, 0
        self._tickets += 1
        ticket = self._tickets
        message = PlaceRequest(
            target=target.life,
            slots=target.slots,
            ticket=ticket,
            level=round(level),
            prompt=request.head.prompt_tokens,
            own=request.head.prompt[-1].id if request.head.prompt else "",
            parts=[(part.id, part.tokens) for part in request.head.prompt[:-1]],
            patience=int(max(0.0, patience) * MILLISECONDS),
            wait=int(max(0.0, wait) * MILLISECONDS),
            beyond=beyond,
            cold_rate=cold_rate,
            apart=request.suspicion >= APART_LEVEL,
        )
        if keeper == own.name:
            answer = self._keeper.ask(own, message)
        else:
            deadline = self._clock.now() + wait + REPLY_SECONDS
            match self._peers.request(keeper, message, deadline):
                case Ok(PlaceAnswer() as answer):
                    pass
                case _:
                    self._silent_until[keeper] = self._clock.now() + SILENT_SECONDS
                    self._queue_release(keeper, ticket)
                    return Verdict.UNREACHABLE, 0
        self._taken[target.life] = answer.taken
        if not answer.granted:
            return Verdict.FULL, 0
        self._held[ticket] = _Held(target=target.life, keeper=keeper)
        return Verdict.GRANTED, ticket

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

    def forget(self, known: set[TargetLife]) -> None:
        """Forget lives of targets that are not known any more."""
        for life in set(self._taken) - known:
            del self._taken[life]
        for life in set(self._keepers) - known:
            del self._keepers[life]

    def keeper_of(self, life: TargetLife) -> str:
        """Return the router that keeps the places of a target."""
        keeper = self._keepers.get(life)
        if keeper is None:
            keeper = choose(life, [member.name for member in self._members.live()])
            self._keepers[life] = keeper
        return keeper

    def state(self) -> None:
        """State all places that are held to their keepers."""
        own = self._members.own
        by_keeper: dict[str, dict[TargetLife, list[int]]] = {}
        for ticket, held in self._held.items():
            by_keeper.setdefault(held.keeper, {}).setdefault(held.target, []).append(ticket)
        for keeper, held_there in by_keeper.items():
            statement = PlacesHeld(held=held_there)
            if keeper == own.name:
                self._keeper.restate(own, statement)
            else:
                self._peers.send(keeper, statement)

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
            keeper = self.keeper_of(held.target)
            if keeper != held.keeper:
                self._held[ticket] = _Held(target=held.target, keeper=keeper)
        self.state()

    def _run(self) -> None:
        while True:
            self._clock.sleep(STATEMENT_SECONDS)
            self.state()
