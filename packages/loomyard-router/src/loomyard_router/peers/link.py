"""One authenticated connection to another router."""

from __future__ import annotations

import logging
from collections import deque
from typing import TYPE_CHECKING, Any

from attrs import define
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard_router.answer_wait import AnswerWait
from loomyard_router.peers.compact_codec import COMPACT, structure
from loomyard_router.peers.fleet_secret import MAC_BYTES
from loomyard_router.peers.frames import (
    EMPTY_ANSWER,
    FAILED_ANSWER,
    MAX_FRAME_BYTES,
    Envelope,
    FrameOpener,
    FrameSealer,
    encode_envelope,
)
from loomyard_router.peers.message_types import kind_of, name_of
from loomyard_router.supervision.failures import record_failure
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.members.membership import Member
    from loomyard_router.peers.channel import WebSocketChannel
    from loomyard_router.peers.handshake import LinkSession
    from loomyard_router.peers.traffic import TrafficCounters

logger = logging.getLogger(__name__)

MAX_QUEUED_BYTES = 4 << 20
MAX_QUEUED_MESSAGES = 4096
MAX_REQUESTS_RUNNING = 256
BATCH_BYTES = 64 << 10
# Estimate: a websocket frame header has 2 to 10 bytes, and 4 more for the mask of a client.
FRAME_OVERHEAD = 6
FRAME = "frame"


@define(eq=False)
class _Queued:
    kind: str
    data: bytes
    request: int = 0


class PeerLink:
    """Send and receive messages on one connection; ``run`` receives in the caller's task."""

    def __init__(
        self,
        *,
        channel: WebSocketChannel,
        session: LinkSession,
        peer: Member,
        clock: Clock,
        traffic: TrafficCounters,
        deliver: Callable[[Member, Any], Any],
        opener: str,
    ) -> None:
        self.peer = peer
        self.opener = opener
        self.used_at = clock.now()
        self._channel = channel
        self._clock = clock
        self._traffic = traffic
        self._deliver = deliver
        self._sealer = FrameSealer(key=session.send_key)
        self._opener = FrameOpener(key=session.receive_key)
        self._queue: deque[_Queued] = deque()
        self._queued_bytes = 0
        self._flushing = False
        self._closed = False
        self._failed = False
        self._answers: dict[int, AnswerWait] = {}
        self._requests = 0
        self._requests_running = 0

    @property
    def closed(self) -> bool:
        return self._closed

    @property
    def closed_here(self) -> bool:
        """Tell whether this side closed the link, rather than the peer or the network."""
        return self._closed and not self._failed

    @property
    def idle(self) -> bool:
        """Tell whether nothing is queued and no request is unanswered on either side."""
        return not (self._queue or self._answers or self._requests_running)

    def send(self, message: Any) -> bool:
        """Queue a message; false where the link is closed or its queue is full."""
        return self._enqueue(name_of(type(message)), message)

    def request(self, message: Any, deadline: float, *, urgent: bool = False) -> Result[Any, Fault]:
        """Send a request and wait for its answer until a deadline, as ``AnswerWait`` does.

        The task that writes queued messages waits for its turn; one that is ``urgent`` does not.
        """
        self._requests += 1
        number = self._requests
        wait = AnswerWait(self._clock, deadline)
        self._answers[number] = wait
        try:
            if not self._enqueue(name_of(type(message)), message, request=number):
                return _unreachable(f"the link to {self.peer.name} is closed or full")
            if urgent:
                self._flush()
            if not wait.wait():
                return _unreachable(f"{self.peer.name} did not answer in time")
            return wait.answer.get_nowait()
        finally:
            del self._answers[number]

    def run(self) -> None:
        """Receive messages until the connection ends."""
        try:
            while self._receive(self._channel.recv()):
                pass
        except (OSError, EOFError):
            self._failed = not self._closed
        finally:
            self.close()

    def close(self) -> None:
        """Close at once and fail the outstanding requests."""
        if self._closed:
            return
        self._closed = True
        for wait in self._answers.values():
            wait.set_answer(_unreachable(f"the link to {self.peer.name} closed"))
        for queued in self._queue:
            self._traffic.record_dropped(queued.kind)
        self._queue.clear()
        self._channel.close_socket()

    def _enqueue(self, name: str, message: Any, *, request: int = 0, answers: int = 0) -> bool:
        body = COMPACT.unstructure(message)
        data = encode_envelope(Envelope(name, body, request, answers))
        full = self._queued_bytes + len(data) > MAX_QUEUED_BYTES
        if self._closed or full or len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._traffic.record_dropped(name)
            return False
        if len(data) > MAX_FRAME_BYTES - MAC_BYTES:
            self._traffic.record_dropped(name)
            emit(logger, Event.PEER_MESSAGE_TOO_LARGE, kind=name, size=len(data))
            return False
        self._queue.append(_Queued(name, data, request))
        self._queued_bytes += len(data)
        if not self._flushing:
            start_task("peer link", self._flush)
            self._flushing = True
        return True

    def _flush(self) -> None:
        """Write the queued messages; runs as a task only while there are any."""
        try:
            while self._queue:
                self._channel.send(self._sealer.seal(self._next_batch()))
        except (OSError, EOFError):
            self._failed = not self._closed
            self.close()
        except Exception:
            # Messages are lost, which the peer learns of only by the end of the link.
            self._failed = not self._closed
            self.close()
            raise
        finally:
            self._flushing = False

    def _next_batch(self) -> list[bytes]:
        batch: list[bytes] = []
        size = 0
        while self._queue and (not batch or size + len(self._queue[0].data) <= BATCH_BYTES):
            queued = self._queue.popleft()
            batch.append(queued.data)
            size += len(queued.data)
            self._traffic.record_sent(queued.kind, len(queued.data))
            self._traffic.framed_messages += 1
            if (wait := self._answers.get(queued.request)) is not None:
                wait.record_sent()
        self._queued_bytes -= size
        self._traffic.record_sent(FRAME, MAC_BYTES + FRAME_OVERHEAD)
        self.used_at = self._clock.now()
        return batch

    def _receive(self, frame: bytes | str) -> bool:
        if not isinstance(frame, bytes):
            return self._refuse("a text frame")
        match self._opener.open(frame):
            case Ok(envelopes):
                pass
            case Err(fault):
                return self._refuse(fault.detail)
        self.used_at = self._clock.now()
        self._traffic.record_received(FRAME, MAC_BYTES + FRAME_OVERHEAD)
        for envelope, size in envelopes:
            self._handle_envelope(envelope, size)
        return True

    def _handle_envelope(self, envelope: Envelope, size: int) -> None:
        kind = kind_of(envelope.kind)
        if envelope.answers and envelope.kind in (EMPTY_ANSWER, FAILED_ANSWER):
            self._traffic.record_received(envelope.kind, size)
            self._settle(envelope.answers, _outcome_without_message(envelope.kind))
        elif kind is None:
            self._traffic.record_refused("unknown")
            emit(logger, Event.PEER_MESSAGE_INVALID, peer=self.peer.name, kind=envelope.kind)
        else:
            self._traffic.record_received(envelope.kind, size)
            self._decode_message(envelope, kind)

    def _decode_message(self, envelope: Envelope, kind: type) -> None:
        match structure(envelope.body, kind):
            case Ok(message):
                self._dispatch(envelope, message)
            case Err(detail):
                self._traffic.record_refused(envelope.kind)
                emit(
                    logger,
                    Event.PEER_MESSAGE_INVALID,
                    peer=self.peer.name,
                    kind=envelope.kind,
                    detail=detail,
                )

    def _dispatch(self, envelope: Envelope, message: Any) -> None:
        if envelope.answers:
            self._settle(envelope.answers, Ok(message))
        elif not envelope.request:
            self._call_handler(message)
        elif self._requests_running < MAX_REQUESTS_RUNNING:
            # A handler may block, for example on the log service, and must not stall the link.
            self._requests_running += 1
            start_task("peer link", self._answer_request, envelope.request, message)
        else:
            self._traffic.record_refused(envelope.kind)

    def _settle(self, request: int, outcome: Result[Any, Fault]) -> None:
        if (wait := self._answers.get(request)) is not None:
            wait.set_answer(outcome)

    def _answer_request(self, request: int, message: Any) -> None:
        try:
            match self._call_handler(message):
                case Ok(None):
                    self._enqueue(EMPTY_ANSWER, None, answers=request)
                case Ok(answer):
                    self._enqueue(name_of(type(answer)), answer, answers=request)
                case Err(_):
                    self._enqueue(FAILED_ANSWER, None, answers=request)
        finally:
            self._requests_running -= 1

    def _call_handler(self, message: Any) -> Result[Any, str]:
        try:
            answer = self._deliver(self.peer, message)
            if answer is not None:
                name_of(type(answer))
        except Exception as error:  # a faulty handler must not close the link
            record_failure(f"peer message {name_of(type(message))}", error)
            return Err(repr(error))
        return Ok(answer)

    def _refuse(self, detail: str) -> bool:
        self._traffic.record_refused(FRAME)
        emit(logger, Event.PEER_REFUSED, peer=self.peer.name, detail=detail)
        return False


def _outcome_without_message(kind: str) -> Result[None, Fault]:
    if kind == EMPTY_ANSWER:
        return Ok(None)
    return Err(Fault(code=ResultCode.PEER_FAILED, detail="the handler of the peer failed"))


def _unreachable(detail: str) -> Err[Fault]:
    return Err(Fault(code=ResultCode.PEER_UNREACHABLE, detail=detail))
