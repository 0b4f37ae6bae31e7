"""The choice of updates for the next datagram: fresh first, old for routers that lack them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from loomyard_router.members.messages import Item, MemberUpdate
from loomyard_router.members.table import MemberTable
from loomyard_router.members.topics import Topics
from loomyard_router.peers.compact_codec import pack

if TYPE_CHECKING:
    from collections.abc import Iterator


MAX_UPDATE_BYTES = 1000
# Transmissions of a fresh update, times the binary logarithm of the fleet's size.
TRANSMISSION_FACTOR = 3
MAX_OLD_UPDATES = 12

# What an update is about: a router by its name, or an announced item by topic and key.
Subject = str | tuple[str, str]


@define(eq=False)
class GossipQueue:
    """Queue updates; each fresh one is sent a number of times logarithmic in the fleet's size."""

    table: MemberTable
    topics: Topics
    _transmissions: dict[Subject, int] = field(factory=dict)
    _cursor: int = 0

    def enqueue(self, subject: Subject, *, fresh: bool = True) -> None:
        """Queue a changed subject; one that is not fresh is sent a few times only."""
        self._transmissions[subject] = (
            0 if fresh else max(0, self._max_transmissions() - TRANSMISSION_FACTOR)
        )

    def select(
        self, *, first: list[MemberUpdate], include_old: bool
    ) -> tuple[list[MemberUpdate], list[Item]]:
        """Return ``first`` and queued updates that fit; ``include_old`` adds old ones in turn."""
        updates = list(first)
        items: list[Item] = []
        size = sum(len(pack(update)) for update in first)
        selected: set[Subject] = {update.name for update in first}
        for subject in self._subjects(include_old):
            update = self._find(subject)
            if subject in selected or update is None:
                continue
            size += len(pack(update))
            if size > MAX_UPDATE_BYTES:
                break
            selected.add(subject)
            self._record_transmission(subject)
            if isinstance(update, Item):
                items.append(update)
            else:
                updates.append(update)
        return updates, items

    def _subjects(self, include_old: bool) -> Iterator[Subject]:
        yield from sorted(self._transmissions, key=self._transmissions.__getitem__)
        if not include_old:
            return
        known: list[Subject] = [*self.table.records, *self.topics.keys()]
        for _ in range(min(MAX_OLD_UPDATES, len(known))):
            self._cursor += 1
            yield known[self._cursor % len(known)]

    def _find(self, subject: Subject) -> MemberUpdate | Item | None:
        update: MemberUpdate | Item | None
        if isinstance(subject, tuple):
            update = self.topics.item(*subject)
        else:
            record = self.table.find(subject)
            update = record.update if record else None
        if update is None:
            self._transmissions.pop(subject, None)
        return update

    def _record_transmission(self, subject: Subject) -> None:
        if subject not in self._transmissions:
            return
        self._transmissions[subject] += 1
        if self._transmissions[subject] >= self._max_transmissions():
            del self._transmissions[subject]

    def _max_transmissions(self) -> int:
        return TRANSMISSION_FACTOR * math.ceil(math.log2(len(self.table.records) + 1))
