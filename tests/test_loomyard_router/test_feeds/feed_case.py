"""Scripted feeds, consumers and memberships for tests of feeds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from attrs import define, field
from result import Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.feeds.feed import Batch, Listing
from loomyard_router.feeds.keyed_record import KeyedRecord
from loomyard_router.feeds.record_consumer import STORE
from loomyard_router.members.membership import Member, SoleMembership
from loomyard_standins.stepped_clock import PASSES_PER_STEP

if TYPE_CHECKING:
    from loomyard_standins.fake_clock import FakeClock

TRIMMED = Fault(code=ResultCode.LOG_TRIMMED, detail="gone")
UNAVAILABLE = Fault(code=ResultCode.LOG_UNAVAILABLE, detail="down")


@define(eq=False)
class ScriptedFeed:
    """A feed that returns prepared results in turn and records the reads."""

    listings: list[Result[Listing, Fault]] = field(factory=list)
    batches: list[Result[Batch, Fault]] = field(factory=list)
    offsets: list[int] = field(factory=list)
    waits: list[float] = field(factory=list)
    name: str = "feed"

    def fetch_listing(self, deadline: float) -> Result[Listing, Fault]:
        return self.listings.pop(0)

    def read(self, offset: int, wait_until: float) -> Result[Batch, Fault]:
        self.offsets.append(offset)
        self.waits.append(wait_until)
        return self.batches.pop(0)


@define(eq=False)
class RecordingConsumer:
    """A consumer that records its calls."""

    calls: list[object] = field(factory=list)

    def apply_listing(self, records: list[KeyedRecord], source: str) -> None:
        self.calls.append((source, [record.key for record in records]))

    def apply_records(self, records: list[KeyedRecord], source: str = STORE) -> None:
        self.calls.append([record.key for record in records])

    def on_store_lost(self) -> None:
        self.calls.append("lost")

    def on_store_recovered(self) -> None:
        self.calls.append("regained")


def record(key: str, offset: int, value: bytes | None = b"v") -> KeyedRecord:
    return KeyedRecord(key=key, value=value, offset=offset)


class TwoMembers(SoleMembership):
    """A membership of two whose announcements a test makes and reads."""

    def __init__(self, own: Member, other: Member) -> None:
        super().__init__(own)
        self.other = other
        self.handlers: dict[str, object] = {}
        self.announced: list[tuple[str, int]] = []

    def live(self) -> tuple[Member, ...]:
        return (self.own, self.other)

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        self.announced.append((key, value))

    def subscribe_topic(self, topic: str, heard: object) -> None:
        self.handlers[topic] = heard


class ManyMembers(SoleMembership):
    """A fixed membership of many."""

    def __init__(self, own: Member, members: list[Member]) -> None:
        super().__init__(own)
        self._members = members

    def live(self) -> tuple[Member, ...]:
        return tuple(self._members)


def pass_time(clock: FakeClock, seconds: float) -> None:
    """Move the clock and let tasks run until all of them wait again."""
    clock.advance(seconds)
    for _ in range(PASSES_PER_STEP):
        gevent.sleep(0)
