"""Sending and receiving of gossip datagrams: sealed, counted and filled with updates."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Err, Ok

from loomyard.events import Event, emit
from loomyard_router.members.datagrams import HEADER_BYTES
from loomyard_router.members.gossip_queue import GossipQueue
from loomyard_router.members.messages import Datagram, DatagramKind

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.members.datagram_seal import DatagramSeal
    from loomyard_router.members.datagrams import Datagrams
    from loomyard_router.members.messages import MemberUpdate
    from loomyard_router.members.table import MemberTable
    from loomyard_router.members.topics import Topics
    from loomyard_router.peers.traffic import TrafficCounters

logger = logging.getLogger(__name__)

REFUSAL_LOG_INTERVAL = 1.0


class GossipExchange:
    """Send the datagrams of this router, and verify and decode those of others."""

    def __init__(
        self,
        *,
        table: MemberTable,
        topics: Topics,
        datagrams: Datagrams,
        seal: DatagramSeal,
        traffic: TrafficCounters,
        clock: Clock,
    ) -> None:
        self.gossip_queue = GossipQueue(table, topics)
        self._table = table
        self._topics = topics
        self._datagrams = datagrams
        self._seal = seal
        self._traffic = traffic
        self._clock = clock
        self._sequence = 0
        self._next_log_at = clock.now()

    @property
    def digest(self) -> int:
        return self._table.digest ^ self._topics.digest

    def send(
        self,
        kind: DatagramKind,
        address: str,
        nonce: int,
        *,
        own: MemberUpdate,
        first: list[MemberUpdate],
        include_old: bool = False,
        target: str = "",
    ) -> None:
        """Send a datagram with the updates ``first`` and as many queued ones as fit.

        With ``include_old`` updates that are no longer queued are added, too.
        """
        updates, items = self.gossip_queue.select(first=first, include_old=include_old)
        self._sequence += 1
        datagram = Datagram(
            kind=kind,
            sender=own.name,
            incarnation=own.incarnation,
            refutation=own.refutation,
            sequence=self._sequence,
            nonce=nonce,
            digest=self.digest,
            updates=updates,
            items=items,
            target=target,
        )
        data = self._seal.seal(datagram, address)
        self._traffic.record_sent(_traffic_kind(kind), len(data) + HEADER_BYTES)
        self._datagrams.send(address, data)

    def open(self, data: bytes, own_address: str) -> Datagram | None:
        """Return an authentic datagram; count and log one that is refused."""
        match self._seal.open(data, own_address):
            case Ok(datagram):
                self._traffic.record_received(
                    _traffic_kind(datagram.kind), len(data) + HEADER_BYTES
                )
                return datagram
            case Err(fault):
                self._traffic.record_refused("datagram")
                self._log_refusal(fault.detail)
        return None

    def _log_refusal(self, detail: str) -> None:
        """Log a refusal, at most one in ``REFUSAL_LOG_INTERVAL`` seconds."""
        now = self._clock.now()
        if now >= self._next_log_at:
            self._next_log_at = now + REFUSAL_LOG_INTERVAL
            emit(logger, Event.DATAGRAM_REFUSED, detail=detail)


def _traffic_kind(kind: DatagramKind) -> str:
    return f"member-{kind.name.lower().replace('_', '-')}"
