"""Which news rides on the next datagram: fresh news first, old news to those that lack it."""

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


NEWS_BYTES = 1000
REPEATS = 3
MAX_OLD_NEWS = 12

# A router by its name, or an item by topic and key.
Subject = str | tuple[str, str]


@define(eq=False)
class News:
    """Choose news; each fresh piece goes out a number of times logarithmic in the fleet."""

    table: MemberTable
    topics: Topics
    _sent: dict[Subject, int] = field(factory=dict)
    _cursor: int = 0

    def add(self, subject: Subject, *, fresh: bool = True) -> None:
        """Take in that something changed; what is not fresh goes out a few times only."""
        self._sent[subject] = 0 if fresh else max(0, self._limit() - REPEATS)

    def take(
        self, *, first: list[MemberUpdate], everything: bool
    ) -> tuple[list[MemberUpdate], list[Item]]:
        """Return what fits; with ``everything`` also old news, round robin."""
        updates = list(first)
        items: list[Item] = []
        size = sum(len(pack(update)) for update in first)
        taken: set[Subject] = {update.name for update in first}
        for subject in self._subjects(everything):
            piece = self._piece(subject)
            if subject in taken or piece is None:
                continue
            size += len(pack(piece))
            if size > NEWS_BYTES:
                break
            taken.add(subject)
            self._count(subject)
            if isinstance(piece, Item):
                items.append(piece)
            else:
                updates.append(piece)
        return updates, items

    def _subjects(self, everything: bool) -> Iterator[Subject]:
        yield from sorted(self._sent, key=self._sent.__getitem__)
        if not everything:
            return
        known: list[Subject] = [*self.table.records, *self.topics.keys()]
        for _ in range(min(MAX_OLD_NEWS, len(known))):
            self._cursor += 1
            yield known[self._cursor % len(known)]

    def _piece(self, subject: Subject) -> MemberUpdate | Item | None:
        piece: MemberUpdate | Item | None
        if isinstance(subject, tuple):
            piece = self.topics.item(*subject)
        else:
            record = self.table.find(subject)
            piece = record.update if record else None
        if piece is None:
            self._sent.pop(subject, None)
        return piece

    def _count(self, subject: Subject) -> None:
        if subject not in self._sent:
            return
        self._sent[subject] += 1
        if self._sent[subject] >= self._limit():
            del self._sent[subject]

    def _limit(self) -> int:
        return REPEATS * math.ceil(math.log2(len(self.table.records) + 1))
