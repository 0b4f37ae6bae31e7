"""Tell the fleet which requests ended targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from result import Ok

from loomyard.rendezvous import rank
from loomyard_router.crashes.crash_ledger import FORGET_SECONDS
from loomyard_router.crashes.crash_messages import (
    CrashNews,
    CrashQuestion,
    make_word,
    read_word,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from loomyard.clock import Clock
    from loomyard_router.crashes.crash_ledger import CrashLedger
    from loomyard_router.crashes.crash_record import CrashRecord
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

# The requests that a target's end broke are told of together.
GATHER_SECONDS = 0.005
# Routers that each piece of news goes to; in a larger fleet each of them passes it on once, which
# reaches 0.997 of any number of routers, and the questions the rest.
FANOUT = 6
# Seconds between two questions to a neighbour. Whoever starts, or was out of touch, knows what
# the others know after one or two; users excuse three seconds and more.
QUESTION_SECONDS = 1.0
ANSWER_SECONDS = 0.5
# Routers among which one is asked, the same each time, so that links stay few in a large fleet. On
# 19 routers that is not to be seen yet: 36.0 s of processor time in 40 s, 35.0 and 37.0 with any.
NEIGHBOURS = 6
SOON_SECONDS = 0.2


class CrashExchange:
    """Push what is new at once, and ask a random neighbour whether something is missing.

    A router that stood still, or hears of one it did not know, asks at once.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: CrashLedger,
        members: Membership,
        peers: PeerLinks,
        source: random.Random,
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._members = members
        self._peers = peers
        self._random = source
        self._news: dict[str, CrashRecord] = {}
        self._hearing = False
        self._sending = False
        self._asking = False
        self._known: frozenset[str] = frozenset()
        self._come: frozenset[str] = frozenset()
        self._task: gevent.Greenlet | None = None
        peers.handle(CrashNews, self.hear)
        peers.handle(CrashQuestion, self.answer)
        ledger.subscribe(self._note)

    def start(self) -> None:
        """Start to ask."""
        self._members.subscribe(self._look)
        self._members.subscribe_pause(lambda _: self._ask_soon())
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.kill(block=False)

    def hear(self, _: Member, news: CrashNews) -> None:
        """Take in what another router tells."""
        # In a small fleet whoever has news tells all others itself.
        self._hearing = len(self._members.live()) <= FANOUT + 1
        try:
            self._take(news)
        finally:
            self._hearing = False

    def answer(self, _: Member, question: CrashQuestion) -> CrashNews:
        """Answer a router that may lack something."""
        records = self._ledger.records()
        if question.digest == self._ledger.digest:
            return CrashNews()
        return self._put(records)

    def ask(self, among: Iterable[str] = ()) -> None:
        """Ask one of some routers, or a neighbour, for what this one lacks."""
        others = self._others()
        near = rank(self._members.own.name, others)[:NEIGHBOURS]
        asked = sorted({*among} & {*others}) or near
        if not asked:
            return
        question = CrashQuestion(digest=self._ledger.digest)
        deadline = self._clock.now() + ANSWER_SECONDS
        match self._peers.request(self._random.choice(asked), question, deadline):
            case Ok(CrashNews() as news):
                # Whoever knew it could not reach this router; it may not have reached others.
                self._take(news)

    def _take(self, news: CrashNews) -> None:
        now = self._clock.now()
        for word in news.words:
            record = read_word(word, now, FORGET_SECONDS)
            if record is not None:
                self._ledger.join(record)

    def _note(self, record: CrashRecord) -> None:
        if self._hearing:
            return
        self._news[record.fingerprint] = record
        if not self._sending:
            self._sending = True
            gevent.spawn(self._send)

    def _send(self) -> None:
        self._clock.sleep(GATHER_SECONDS)
        self._sending = False
        news, self._news = self._news, {}
        message = self._put(news.values())
        others = self._others()
        for name in self._random.sample(others, min(FANOUT, len(others))):
            self._peers.send(name, message)

    def _put(self, records: Iterable[CrashRecord]) -> CrashNews:
        now = self._clock.now()
        return CrashNews(words=[make_word(record, now) for record in records])

    def _others(self) -> list[str]:
        own = self._members.own.name
        return [member.name for member in self._members.live() if member.name != own]

    def _look(self) -> None:
        """Ask at once where a router has come that may know more."""
        known = frozenset(self._others())
        come, self._known = known - self._known, known
        self._come |= come
        if come:
            self._ask_soon()

    def _ask_soon(self) -> None:
        if not self._asking:
            self._asking = True
            gevent.spawn(self._ask_now)

    def _ask_now(self) -> None:
        # Routers mostly come several at a time.
        self._clock.sleep(self._random.uniform(0.0, SOON_SECONDS))
        self._asking = False
        come, self._come = self._come, frozenset()
        self.ask(come)

    def _run(self) -> None:
        while True:
            self._clock.sleep(QUESTION_SECONDS * self._random.uniform(0.8, 1.2))
            self._ledger.expire()
            self.ask()
