"""Interrupted streams that their callers may still resume."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from loomyard_router.requests.stream_taken import StreamTaken
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.peers.links import PeerLinks

REMEMBERED_ATTEMPTS = 4096


class PendingResumes:
    """Wait up to ``seconds`` for a caller to resume its stream before the work is cancelled."""

    def __init__(self, clock: Clock, peers: PeerLinks, router: str, *, seconds: float) -> None:
        self.router = router
        self._clock = clock
        self._peers = peers
        self._seconds = seconds
        self._resumed: OrderedDict[str, None] = OrderedDict()
        self._pending: dict[str, Callable[[bool], None]] = {}
        peers.handle(StreamTaken, lambda _, message: self.record_resumed(message.attempt_id))

    def add(self, attempt_id: str, end: Callable[[bool], None]) -> None:
        """Call ``end`` with whether the stream was resumed, at the latest after ``seconds``."""
        if attempt_id in self._resumed:
            end(True)
            return
        self._pending[attempt_id] = end
        start_task("pending resumes", self._expire, attempt_id)

    def record_resumed(self, attempt_id: str) -> None:
        """Record that the caller resumed a stream, here or at another router."""
        self._resumed[attempt_id] = None
        while len(self._resumed) > REMEMBERED_ATTEMPTS:
            self._resumed.popitem(last=False)
        self._end(attempt_id, resumed=True)

    def notify_resumed(self, attempt_id: str, router: str) -> None:
        """Notify the router that served a stream that its caller resumes it here."""
        if router == self.router:
            self.record_resumed(attempt_id)
        else:
            self._peers.send(router, StreamTaken(attempt_id=attempt_id))

    def _expire(self, attempt_id: str) -> None:
        self._clock.sleep(self._seconds)
        self._end(attempt_id, resumed=False)

    def _end(self, attempt_id: str, *, resumed: bool) -> None:
        end = self._pending.pop(attempt_id, None)
        if end is not None:
            end(resumed)
