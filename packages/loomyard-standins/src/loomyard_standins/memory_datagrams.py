"""Datagrams between routers in one process, with fault injection."""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable


class DatagramNetwork:
    """Delivers datagrams by address, in a separate task or in a call of ``flush``.

    Injected faults: ``cut`` separates addresses; ``loss`` and ``doubled`` are the probabilities
    that a datagram is lost or arrives twice.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self.loss = 0.0
        self.doubled = 0.0
        self.carried: list[tuple[str, str, bytes]] = []
        self._random = random.Random(seed)
        self._cuts: set[frozenset[str]] = set()
        self._receivers: dict[str, Callable[[bytes], None]] = {}
        self._waiting: deque[tuple[str, bytes]] = deque()
        self._flushing = False

    def join(self, address: str) -> MemoryDatagrams:
        """Return the datagrams of an address; none arrive there before its ``start``."""
        return MemoryDatagrams(self, address)

    def attach(self, address: str, receive: Callable[[bytes], None]) -> None:
        """Register the receiver of an address."""
        self._receivers[address] = receive

    def detach(self, address: str) -> None:
        """Remove the receiver of an address, as a kill does; datagrams to it are lost."""
        self._receivers.pop(address, None)

    def cut(self, left: set[str], right: set[str]) -> None:
        """Cut all paths between two sets of addresses."""
        self._cuts |= {frozenset((a, b)) for a in left for b in right}

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()

    def carry(self, sender: str, to: str, data: bytes) -> None:
        """Queue a datagram for delivery, unless a fault drops it."""
        self.carried.append((sender, to, data))
        if frozenset((sender, to)) in self._cuts or self._random.random() < self.loss:
            return
        self._waiting.append((to, data))
        if self._random.random() < self.doubled:
            self._waiting.append((to, data))
        if not self._flushing:
            self._flushing = True
            gevent.spawn(self.flush)

    def flush(self) -> None:
        """Deliver all queued datagrams, including those sent in response."""
        while self._waiting:
            to, data = self._waiting.popleft()
            if (receive := self._receivers.get(to)) is not None:
                receive(data)
        self._flushing = False


class MemoryDatagrams:
    """``Datagrams`` of one router in a ``DatagramNetwork``."""

    def __init__(self, network: DatagramNetwork, address: str) -> None:
        self._network = network
        self._address = address

    def send(self, address: str, data: bytes) -> None:
        self._network.carry(self._address, address, data)

    def start(self, receive: Callable[[bytes], None]) -> None:
        self._network.attach(self._address, receive)

    def stop(self) -> None:
        self._network.detach(self._address)
