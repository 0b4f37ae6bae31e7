"""Links between routers in one process, with fault injection."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import gevent
from result import Err, Ok, Result

from loomyard.codec import decode, encode
from loomyard.errors import Fault, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.members.membership import Member


class MemoryNetwork:
    """Delivers messages between routers.

    Injected faults: ``cut`` separates routers; ``delay`` in seconds is added to each message
    and twice to each request; ``loss`` and ``doubled`` are the probabilities that a message
    (not a request) is lost or arrives twice.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self.delay = 0.0
        self.loss = 0.0
        self.doubled = 0.0
        self.sent_bytes = 0
        self.sent_messages = 0
        self._random = random.Random(seed)
        self._cuts: set[frozenset[str]] = set()
        self._links: dict[str, MemoryPeers] = {}

    def join(self, member: Member) -> MemoryPeers:
        """Add a router and return its links; they replace earlier ones of the same name."""
        self._links[member.name] = MemoryPeers(self, member)
        return self._links[member.name]

    def leave(self, name: str) -> None:
        """Remove a router, as a kill does."""
        self._links.pop(name, None)

    def cut(self, left: set[str], right: set[str]) -> None:
        """Cut all links between two sets of routers."""
        self._cuts |= {frozenset((a, b)) for a in left for b in right}

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()

    def is_cut(self, left: str, right: str) -> bool:
        """Return whether the links between two routers are cut."""
        return frozenset((left, right)) in self._cuts

    def find(self, sender: str, to: str) -> MemoryPeers | None:
        """Return the links of a receiver, or ``None`` if the sender can't reach it."""
        if self.is_cut(sender, to) or sender not in self._links:
            return None
        return self._links.get(to)

    def deliver(self, sender: Member, to: str, message: Any) -> bool:
        """Send a message asynchronously; return false if the receiver is unreachable."""
        if self.find(sender.name, to) is None:
            return False
        data = encode(message)
        self.sent_bytes += len(data)
        self.sent_messages += 1
        copies = 2 if self._random.random() < self.doubled else 1
        for _ in range(copies):
            if self._random.random() >= self.loss:
                gevent.spawn(self._arrive, sender, to, type(message), data)
        return True

    def _arrive(self, sender: Member, to: str, kind: type, data: bytes) -> None:
        if self.delay:
            gevent.sleep(self.delay)
        if (links := self.find(sender.name, to)) is not None:
            links.receive(sender, decode(data, kind).unwrap())


class MemoryPeers:
    """``PeerLinks`` of one router in a ``MemoryNetwork``."""

    def __init__(self, network: MemoryNetwork, member: Member) -> None:
        self._network = network
        self._member = member
        self._handlers: dict[type, Callable[[Member, Any], Any]] = {}

    def send(self, to: str, message: Any) -> bool:
        return self._network.deliver(self._member, to, message)

    def request(
        self, to: str, message: Any, deadline: float, *, urgent: bool = False
    ) -> Result[Any, Fault]:
        if self._network.delay:
            gevent.sleep(2 * self._network.delay)
        links = self._network.find(self._member.name, to)
        if links is None:
            return Err(Fault(code=ResultCode.PEER_UNREACHABLE, detail=f"no link to {to}"))
        return Ok(links.receive(self._member, message))

    def handle(self, kind: type, handler: Callable[[Member, Any], Any]) -> None:
        self._handlers[kind] = handler

    def receive(self, sender: Member, message: Any) -> Any:
        """Pass a message to the handler of its type and return the reply."""
        handler = self._handlers.get(type(message))
        return handler(sender, message) if handler else None

    def start(self) -> None:
        pass

    def stop(self) -> None:
        self._network.leave(self._member.name)
