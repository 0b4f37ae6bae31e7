"""Deterministic simulation in virtual time: event queue, links and membership without tasks."""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING, Any

from result import Err, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.peers.compact_codec import pack, unpack

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.members.membership import Member


class Agenda:
    """Event queue and clock: time jumps from one scheduled call to the next."""

    def __init__(self) -> None:
        self._now = 0.0
        self._count = 0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def sleep(self, seconds: float) -> None:
        raise NotImplementedError("virtual time has no tasks")

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a call in some seconds."""
        self._count += 1
        heapq.heappush(self._calls, (self._now + seconds, self._count, call))

    def every(self, seconds: float, call: Callable[[], bool | None]) -> None:
        """Schedule a call at an interval in seconds, until it returns false."""

        def repeat() -> None:
            if call() is not False:
                self.after(seconds, repeat)

        self.after(seconds, repeat)

    def run(self, until: float) -> None:
        """Make all calls due up to a time, in order."""
        while self._calls and self._calls[0][0] <= until:
            self._now, _, call = heapq.heappop(self._calls)
            call()
        self._now = until


class VirtualNetwork:
    """Links between routers, with counts of sent messages and bytes by router.

    Injected faults: ``cuts`` separates pairs; ``loss`` and ``doubled`` are the probabilities that
    a message is lost or arrives twice; ``jitter`` adds up to that many seconds to the ``delay`` of
    each copy, which also reorders messages.
    """

    def __init__(self, agenda: Agenda, *, delay: float, seed: int = 0) -> None:
        self.loss = 0.0
        self.doubled = 0.0
        self.jitter = 0.0
        self.messages: dict[str, int] = {}
        self.bytes: dict[str, int] = {}
        self.cuts: set[frozenset[str]] = set()
        self.links: dict[str, VirtualPeers] = {}
        self.delay = delay
        self._agenda = agenda
        self._random = random.Random(seed)

    def join(self, member: Member) -> VirtualPeers:
        """Add a router and return its links."""
        self.links[member.name] = VirtualPeers(self, member)
        return self.links[member.name]

    def deliver(self, sender: Member, to: str, message: Any) -> bool:
        """Schedule the arrival of a message, unless a fault drops it."""
        data = pack(message)
        self.messages[sender.name] = self.messages.get(sender.name, 0) + 1
        self.bytes[sender.name] = self.bytes.get(sender.name, 0) + len(data)
        copies = 2 if self._random.random() < self.doubled else 1
        for _ in range(copies):
            if self._random.random() >= self.loss:
                delay = self.delay + self.jitter * self._random.random()
                self._agenda.after(delay, lambda: self._arrive(sender, to, type(message), data))
        return True

    def _arrive(self, sender: Member, to: str, kind: type, data: bytes) -> None:
        links = self.links.get(to)
        if links is None or frozenset((sender.name, to)) in self.cuts:
            return
        links.receive(sender, unpack(data, kind).unwrap())


class VirtualPeers:
    """``PeerLinks`` of one router in a ``VirtualNetwork``."""

    def __init__(self, network: VirtualNetwork, member: Member) -> None:
        self._network = network
        self._member = member
        self._handlers: dict[type, Callable[[Member, Any], Any]] = {}

    def send(self, to: str, message: Any) -> bool:
        return self._network.deliver(self._member, to, message)

    def request(
        self, to: str, message: Any, deadline: float, *, urgent: bool = False
    ) -> Result[Any, Fault]:
        return Err(Fault(code=ResultCode.PEER_UNREACHABLE, detail="no requests in virtual time"))

    def handle(self, kind: type, handler: Callable[[Member, Any], Any]) -> None:
        self._handlers[kind] = handler

    def receive(self, sender: Member, message: Any) -> None:
        """Pass a message to the handler of its type."""
        self._handlers[type(message)](sender, message)

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass


class VirtualMembers:
    """``Membership`` whose view is set by the simulation."""

    def __init__(self, own: Member) -> None:
        self._own = own
        self._view: tuple[Member, ...] = (own,)
        self._remembered = {own.name: own}
        self._listeners: list[Callable[[], None]] = []

    @property
    def own(self) -> Member:
        return self._own

    def live(self) -> tuple[Member, ...]:
        return self._view

    def find(self, name: str) -> Member | None:
        return self._remembered.get(name)

    def suspect(self, name: str) -> None:
        pass

    def subscribe(self, changed: Callable[[], None]) -> None:
        self._listeners.append(changed)

    def set_view(self, members: list[Member]) -> None:
        """Replace the live members and notify the listeners; earlier ones can still be found."""
        self._view = tuple(sorted(members, key=lambda member: member.name))
        self._remembered |= {member.name: member for member in members}
        for listener in self._listeners:
            listener()

    def subscribe_pause(self, paused: Callable[[float], None]) -> None:
        pass

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        pass

    def subscribe_topic(self, topic: str, received: Callable[[str, int], None]) -> None:
        pass

    def leave(self) -> None:
        pass

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass
