"""Exchange of what routers observed, for those that could not observe it themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from loomyard_router.streams.origin_messages import PastOrigins, PastOriginsQuery
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    import random

    import gevent

    from loomyard.clock import Clock
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.streams.origin_history import OriginHistory

QUERY_SECONDS = 1.0
QUERY_JITTER = 0.2
ANSWER_SECONDS = 0.5


class HistoryExchange:
    """Asks one random router a second for its past, while the own one is too short.

    That is so after a start, a pause or a time without the store. So what was observed outlives
    each router as long as not all of them end at once.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        history: OriginHistory,
        members: Membership,
        peers: PeerLinks,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._history = history
        self._members = members
        self._peers = peers
        self._rng = rng
        self._task: gevent.Greenlet | None = None
        peers.handle(PastOriginsQuery, self.answer)

    def start(self) -> None:
        """Start to ask."""
        self._task = start_supervised("stream history", self._clock, self._run)

    def stop(self) -> None:
        """Stop asking."""
        if self._task is not None:
            self._task.kill(block=False)

    def answer(self, _: Member, __: PastOriginsQuery) -> PastOrigins:
        """Return what this router observed."""
        return self._history.past()

    def query(self) -> None:
        """Ask one other router, and adopt its past if it reaches further back."""
        own = self._members.own.name
        others = [member.name for member in self._members.live() if member.name != own]
        if not others:
            return
        deadline = self._clock.now() + ANSWER_SECONDS
        match self._peers.request(self._rng.choice(others), PastOriginsQuery(), deadline):
            case Ok(PastOrigins() as past):
                if past.observed_seconds > self._history.observed_seconds:
                    self._history.adopt(past)

    def _run(self) -> None:
        while True:
            jitter = self._rng.uniform(1.0 - QUERY_JITTER, 1.0 + QUERY_JITTER)
            self._clock.sleep(QUERY_SECONDS * jitter)
            if not self._history.is_long_enough:
                self.query()
