"""Relay of an answer as it arrives; a broken stream is resumed at another target if allowed."""

from __future__ import annotations

import logging
from time import perf_counter
from typing import TYPE_CHECKING, NoReturn

from loomyard.events import Event, emit
from loomyard_router.relays.event_stream import EventStream
from loomyard_router.requests.whole_answers import AnswerBrokenError
from loomyard_router.routed.target_connection import ExchangeBrokenError, ExchangeShortageError

if TYPE_CHECKING:
    from collections.abc import Generator

    from loomyard_router.routed.attempt_sender import Exchange
    from loomyard_router.routed.event_coalescer import EventCoalescer
    from loomyard_router.routed.forwarder import Forwarder
    from loomyard_router.routed.routed_request import RoutedRequest

logger = logging.getLogger(__name__)

OK = 200
# Why an answer counts as broken that ended with its connection, without a length and chunks.
CRASHED_DETAIL = "the target crashed when its answer ended"


class AnswerRelay:
    """Relay one answer to its caller; a resumed stream keeps the head of its first target."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: RoutedRequest,
        exchange: Exchange,
        coalescer: EventCoalescer,
    ) -> None:
        self._forwarder = forwarder
        self._coalescer = coalescer
        self._request = request
        self._exchange: Exchange | None = exchange
        after = request.head.last_event_id
        self._event_stream = EventStream(
            after=int(after) if after.isascii() and after.isdigit() else -1, consecutive_ids=False
        )
        self._has_begun = False
        # Whether the answer of the present target has gone on for so long that it is no crash.
        self._is_established = False
        self._resumes_left = max(0, request.route.max_attempts - 1)

    def close(self) -> None:
        """Release the exchange, also before its end."""
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            self._forwarder.close(self._request, exchange)

    def finish_unread(self, detail: str) -> None:
        """Finish an answer read without its caller; ``detail`` is why it was aborted, or empty."""
        if detail:
            self._request.trace.broken = detail
        self.close()

    def blocks(self, first: bytes) -> Generator[bytes, None, None]:
        """Relay a long answer; where it breaks off, the connection to the caller is closed."""
        yield first
        while block := self._read():
            yield block
        assert self._exchange is not None
        if self._forwarder.has_crashed(self._exchange):
            self._fail_broken_off(CRASHED_DETAIL)
        self._forwarder.record_completion(self._request, self._exchange)

    def events(self, first: bytes) -> Generator[bytes, None, None]:
        """Relay the complete events of a stream."""
        block = first
        while True:
            if not block:
                broken = self._find_break()
                if not broken:
                    assert self._exchange is not None
                    self._forwarder.record_completion(self._request, self._exchange)
                    return
                block = self._resume(broken)
                continue
            began_at = perf_counter()
            events = self._event_stream.feed(block)
            assert self._exchange is not None
            self._exchange.connection.record_work(perf_counter() - began_at)
            if events is None:
                self._fail("events are missing or too long")
            if not self._request.reserve_answer(self._event_stream.pending_bytes):
                self._fail("no memory is left for an event of this size")
            if events:
                if not self._has_begun:
                    self._has_begun = True
                    assert self._exchange is not None
                    self._forwarder.record_first_event(self._request, self._exchange.permit)
                yield events
                self._coalescer.delay_read()
            block = self._read_or_resume()

    def _read_or_resume(self) -> bytes:
        """Read the next block, from another target where this one broke off."""
        assert self._exchange is not None
        try:
            block = self._exchange.connection.read_block(self._request.deadline)
        except ExchangeShortageError as error:
            self._fail(str(error))
        except ExchangeBrokenError as error:
            return self._resume(str(error))
        if block and not self._is_established:
            self._is_established = self._forwarder.record_event(self._request)
        return block

    def _find_break(self) -> str:
        """Return why a stream that has ended is not complete, or an empty text."""
        if self._event_stream.pending:
            return "the stream ended in the middle of an event"
        assert self._exchange is not None
        return CRASHED_DETAIL if self._forwarder.has_crashed(self._exchange) else ""

    def _read(self) -> bytes:
        assert self._exchange is not None
        try:
            return self._exchange.connection.read_block(self._request.deadline)
        except ExchangeShortageError as error:
            self._fail(str(error))
        except ExchangeBrokenError as error:
            self._fail_broken_off(str(error))
        raise AssertionError("a broken answer raises")

    def _resume(self, detail: str) -> bytes:
        request = self._request
        exchange = self._exchange
        assert exchange is not None
        if request.presence.gone or not request.route.resumable or not self._resumes_left:
            self._fail_broken_off(detail)
        if not self._event_stream.is_resumable:
            self._fail_broken_off(f"{detail}; no event has an id after which to resume")
        last_event = self._find_last_event()
        self._forwarder.record_broken(request, exchange.permit, detail)
        self.close()
        self._resumes_left -= 1
        opened = self._forwarder.reopen(request, exchange.permit, last_event=last_event)
        if opened.is_err():
            self._fail(f"{detail}; {opened.unwrap_err().detail}")
        resumed, first, complete = opened.unwrap()
        self._exchange = resumed
        self._is_established = False
        if complete or resumed.status != OK:
            self._fail(f"{detail}; the other target answered with status {resumed.status}")
        self._event_stream.restart()
        emit(
            logger,
            Event.STREAM_RESUMED,
            request=request.head.attempt_id,
            target=resumed.permit.target.id,
            service=request.service,
            software=resumed.permit.target.software_version,
            began=exchange.permit.target.software_version,
            after=last_event,
            detail=detail,
        )
        return first

    def _find_last_event(self) -> str:
        """Return the id after which to resume: of the last event, or what the caller named."""
        known_id = self._event_stream.known_id
        return str(known_id) if known_id >= 0 else self._request.head.last_event_id

    def _fail_broken_off(self, detail: str) -> None:
        """Report a broken answer to the crash guard, unless its caller has gone, and raise."""
        if self._exchange is not None and not self._request.presence.gone:
            self._forwarder.record_abort(self._request, self._exchange.permit)
        self._fail(detail)

    def _fail(self, detail: str) -> NoReturn:
        gone = self._request.presence.gone
        self._request.trace.broken = "the caller has gone" if gone else detail
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
