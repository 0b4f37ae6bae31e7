"""Pass an answer on as it comes, and go on at another target where it may."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.relays.event_stream import EventStream
from loomyard_router.requests.whole_answers import AnswerBrokenError
from loomyard_router.routed.target_connection import ExchangeBrokenError

if TYPE_CHECKING:
    from collections.abc import Generator

    from loomyard_router.routed.attempt_sender import Exchange
    from loomyard_router.routed.event_coalescer import EventCoalescer
    from loomyard_router.routed.forwarder import Forwarder
    from loomyard_router.routed.routed_request import RoutedRequest

logger = logging.getLogger(__name__)

OK = 200


class StreamPassing:
    """One answer on its way to its caller; the head of the first target stays that of all."""

    def __init__(
        self, forwarder: Forwarder, request: RoutedRequest, exchange: Exchange, pace: EventCoalescer
    ) -> None:
        self._forwarder = forwarder
        self._pace = pace
        self._request = request
        self._exchange: Exchange | None = exchange
        after = request.head.last_event
        self._events = EventStream(after=int(after) if after.isdigit() else -1)
        self._left = max(0, request.route.max_attempts - 1)

    def close(self) -> None:
        """End, also in the middle."""
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            self._forwarder.close(self._request, exchange)

    def end_unread(self, detail: str) -> None:
        """End where the caller does not read; ``detail`` says why it was broken off, if it was."""
        if detail:
            self._request.trace.broken = detail
        self.close()

    def blocks(self, first: bytes) -> Generator[bytes, None, None]:
        """Pass a long answer on; one that breaks off ends the connection to the caller."""
        yield first
        while block := self._read():
            yield block
        self._forwarder.note_whole(self._request)

    def events(self, first: bytes) -> Generator[bytes, None, None]:
        """Pass whole events on."""
        block = first
        while True:
            if not block:
                if self._events.pending:
                    self._break("the stream ended within an event")
                self._forwarder.note_whole(self._request)
                return
            whole = self._events.feed(block)
            if whole is None:
                self._break("events are missing or have no end")
            if whole:
                yield whole
                self._pace.hold()
            block = self._read_on()

    def _read_on(self) -> bytes:
        """Read the next block, of another target where this one broke off."""
        assert self._exchange is not None
        try:
            return self._exchange.connection.read_block(self._request.deadline)
        except ExchangeBrokenError as error:
            return self._resume(str(error))

    def _read(self) -> bytes:
        assert self._exchange is not None
        try:
            return self._exchange.connection.read_block(self._request.deadline)
        except ExchangeBrokenError as error:
            self._cut(str(error))
        raise AssertionError("a broken answer raises")

    def _resume(self, detail: str) -> bytes:
        request = self._request
        exchange = self._exchange
        assert exchange is not None
        if request.presence.gone or not request.route.resumable or not self._left:
            self._cut(detail)
        last_event = str(self._events.last_id) if self._events.last_id >= 0 else ""
        self._forwarder.note_broken(request, exchange.place, detail)
        self.close()
        self._left -= 1
        opened = self._forwarder.reopen(request, exchange.place, last_event=last_event)
        if opened.is_err():
            self._break(f"{detail}; {opened.unwrap_err().detail}")
        resumed, first, whole = opened.unwrap()
        self._exchange = resumed
        if whole or resumed.status != OK:
            self._break(f"{detail}; the other target answered with status {resumed.status}")
        self._events.restart()
        emit(
            logger,
            Event.STREAM_RESUMED,
            request=request.head.attempt_id,
            target=resumed.place.target.id,
            after=last_event,
            detail=detail,
        )
        return first

    def _cut(self, detail: str) -> None:
        """End an answer that its target broke off, unless its caller left."""
        if self._exchange is not None and not self._request.presence.gone:
            self._forwarder.note_cut(self._request, self._exchange.place)
        self._break(detail)

    def _break(self, detail: str) -> None:
        gone = self._request.presence.gone
        self._request.trace.broken = "the caller left" if gone else detail
        emit(
            logger,
            Event.CALLER_GONE if gone else Event.STREAM_BROKEN,
            request=self._request.head.attempt_id,
            target=self._request.trace.target,
            detail=detail,
            fingerprint=self._request.fingerprint,
        )
        self.close()
        raise AnswerBrokenError(detail)
