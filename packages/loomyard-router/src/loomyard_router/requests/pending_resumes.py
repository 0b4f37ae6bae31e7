"""Streams that are kept for a while after their callers went."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import gevent

from loomyard_router.requests.stream_taken import StreamTaken

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.peers.links import PeerLinks

REMEMBERED_ATTEMPTS = 4096


class PendingResumes:
    """Cancel the work of a stream only when its caller has not resumed within some seconds."""

    def __init__(self, clock: Clock, peers: PeerLinks, router: str, *, seconds: float) -> None:
        self.router = router
        self._clock = clock
        self._peers = peers
        self._seconds = seconds
        self._taken: OrderedDict[str, None] = OrderedDict()
        self._held: dict[str, Callable[[bool], None]] = {}
        peers.handle(StreamTaken, lambda _, message: self.take(message.attempt_id))

    def hold(self, attempt_id: str, end: Callable[[bool], None]) -> None:
        """Call back with whether the stream was taken, at the latest when the time is over."""
        if attempt_id in self._taken:
            end(True)
            return
        self._held[attempt_id] = end
        gevent.spawn(self._expire, attempt_id)

    def take(self, attempt_id: str) -> None:
        """Take in that the caller went on with a stream, here or at another router."""
        self._taken[attempt_id] = None
        while len(self._taken) > REMEMBERED_ATTEMPTS:
            self._taken.popitem(last=False)
        self._end(attempt_id, taken=True)

    def take_over(self, attempt_id: str, router: str) -> None:
        """Tell the router that served a stream that its caller goes on here."""
        if router == self.router:
            self.take(attempt_id)
        else:
            self._peers.send(router, StreamTaken(attempt_id=attempt_id))

    def _expire(self, attempt_id: str) -> None:
        self._clock.sleep(self._seconds)
        self._end(attempt_id, taken=False)

    def _end(self, attempt_id: str, *, taken: bool) -> None:
        end = self._held.pop(attempt_id, None)
        if end is not None:
            end(taken)
