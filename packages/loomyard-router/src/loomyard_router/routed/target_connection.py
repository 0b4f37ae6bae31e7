"""Connection to a target that carries one exchange at a time."""

from __future__ import annotations

import math
import socket as sockets
from time import perf_counter
from typing import TYPE_CHECKING

import gevent
from gevent import socket

from loomyard.util.addresses import split_address
from loomyard.util.answer_bounds import ReadPacer
from loomyard.util.read_buffer import receive
from loomyard.util.tcp import count_unacknowledged, disable_nagle, set_keepalive
from loomyard_router.memory.shortages import note_shortage
from loomyard_router.routed.answer_parser import AnswerParser
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.routed.deadline_watch import DeadlineWatch

READABLE = 1
# A longer body is sent by a task of its own, as the target may answer before it has read it.
SMALL_BODY_BYTES = 8192
# The longest body that is read without being relayed.
MAX_DRAINED_BYTES = 1 << 16
# Reads after the deadline of what the socket holds, before the watch closes it: a socket that was
# not read for some seconds holds less.
MAX_LATE_READS = 64


class ExchangeBrokenError(OSError):
    """The connection broke, or the bytes received are no HTTP answer."""


class ExchangeShortageError(ExchangeBrokenError):
    """This router has no memory to go on, which is no fault of the target."""


class ExchangeUnsentError(OSError):
    """What a request rests on was checked too long ago; nothing was sent."""


class ExchangeTimeoutError(ExchangeBrokenError):
    """The deadline passed before the exchange was complete."""


class TargetConnection:
    """A connection; ``close`` by another task makes a blocked send or read raise an error."""

    def __init__(self, sock: socket.socket, clock: Clock, watch: DeadlineWatch) -> None:
        self._socket = sock
        self._clock = clock
        self._watch = watch
        self._expired = False
        self._late_reads = 0
        self._parser: AnswerParser | None = None
        self._sender: gevent.Greenlet | None = None
        self._sent = False
        self.has_begun = False
        self._pacer = ReadPacer()
        self._unexpected = gevent.get_hub().loop.io(sock.fileno(), READABLE)
        self.closed = False
        self.used_at = clock.now()

    @property
    def status(self) -> int:
        assert self._parser is not None
        return self._parser.get_code()

    @property
    def headers(self) -> list[tuple[str, str]]:
        assert self._parser is not None
        return [(str(name), str(value)) for name, value in self._parser.items()]

    @property
    def reusable(self) -> bool:
        """Tell whether the exchange is complete and the connection can carry another."""
        parser = self._parser
        if parser is None or not parser.ended or parser.excess:
            return False
        return self._sent and not self.closed and parser.should_keep_alive()

    @property
    def ended_by_close(self) -> bool:
        """Tell whether the answer ended with its connection, which may be a crash of the target."""
        return self._parser is not None and self._parser.ended_by_close

    @property
    def idle_and_open(self) -> bool:
        """Tell whether an idle connection is open and has no unexpected data."""
        try:
            self._socket._sock.recv(1, sockets.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @property
    def _has_request_arrived(self) -> bool:
        """Tell whether the target has acknowledged the whole request.

        The end of its answer acknowledges all that came before it.
        """
        return self._sent and not count_unacknowledged(self._socket)

    def send(
        self, head: bytes, body: bytes, method: str, deadline: float, *, latest: float = math.inf
    ) -> None:
        """Send a request, but not after ``latest``; a long body is sent in the background."""
        self.has_begun = False
        self._parser = AnswerParser(method)
        self._sent = False
        self._late_reads = 0
        self._unexpected.stop()
        self._watch.set_deadline(self, deadline)
        first = head + body[:SMALL_BODY_BYTES]
        rest = memoryview(body)[SMALL_BODY_BYTES:]
        if self._clock.now() > latest:
            raise ExchangeUnsentError("the process stood still before the send")
        self.has_begun = True
        if not rest:
            self._send_all(first, deadline)
            self._sent = True
        else:
            self._sender = start_task(
                "target connection", self._send_in_background, first, rest, deadline
            )

    def read_head(self, deadline: float) -> None:
        """Wait for the head of the final answer."""
        parser = self._parser
        assert parser is not None
        while not parser.final:
            self._read(deadline)

    def read_block(self, deadline: float) -> bytes:
        """Return the next bytes of the body, waiting for some; empty at its end."""
        parser = self._parser
        assert parser is not None
        while True:
            data = parser.read_body()
            if data or parser.ended:
                return data
            self._read(deadline)

    def record_work(self, seconds: float) -> None:
        """Record the time that the last block took; wait for a turn of the event loop if due."""
        self._pacer.record(0, seconds)

    def drain(self, deadline: float) -> None:
        """Read and drop a short body, so that the connection can be reused; close it otherwise."""
        self._watch.set_deadline(self, deadline)
        size = 0
        try:
            while data := self.read_block(deadline):
                size += len(data)
                if size > MAX_DRAINED_BYTES:
                    break
            else:
                return
        except ExchangeBrokenError:
            pass
        self.close()

    def mark_idle(self) -> None:
        """Remove the deadline, as the exchange has ended and the connection is kept.

        Whatever arrives from now on belongs to no exchange, so it closes the connection.
        """
        self._watch.clear_deadline(self)
        self._unexpected.start(self.close)

    def expire(self) -> None:
        """Close, as the deadline of the exchange has passed."""
        self._expired = True
        self.close()

    def close(self) -> None:
        """Close the socket at once and stop sending."""
        self.closed = True
        self._unexpected.stop()
        self._unexpected.close()
        self._watch.clear_deadline(self)
        sender, self._sender = self._sender, None
        if sender is not None:
            sender.kill(block=False)
        self._socket.close()

    def _read(self, deadline: float) -> None:
        late = self._clock.now() >= deadline
        if self._expired or self._late_reads >= MAX_LATE_READS:
            raise ExchangeTimeoutError("the deadline passed")
        self._late_reads += late
        # What waits in the socket may have come in time.
        source = self._socket._sock if late else self._socket
        try:
            data = receive(source, self._pacer.read_bytes)
        except BlockingIOError as error:
            raise ExchangeTimeoutError("the deadline passed") from error
        except (OSError, MemoryError) as error:
            if self._expired:
                raise ExchangeTimeoutError("no data before the deadline") from error
            raise _broken(error) from error
        parser = self._parser
        assert parser is not None
        received_at = perf_counter()
        try:
            parser.feed(data)
        except MemoryError as error:
            raise _broken(error) from error
        except Exception as error:  # the parser raises many types on malformed answers
            raise ExchangeBrokenError(f"malformed answer: {error}") from error
        if not data and not parser.ended:
            raise ExchangeBrokenError("closed before the end of the answer")
        if parser.ended_by_close and not self._has_request_arrived:
            # The kernel reports a reset once. Where the task that sends is told of it, this one
            # reads what looks like an orderly end.
            raise ExchangeBrokenError("closed before the whole request had arrived at the target")
        self._pacer.record(len(data), perf_counter() - received_at)

    def _send_in_background(self, first: bytes, rest: memoryview, deadline: float) -> None:
        try:
            self._send_all(first, deadline)
            self._send_all(rest, deadline)
            self._sent = True
        except ExchangeBrokenError:
            # The reading task sees the broken connection, or an answer sent before the whole body.
            return

    def _send_all(self, data: bytes | memoryview, deadline: float) -> None:
        sent = 0
        while sent < len(data):
            if self._expired or self._clock.now() >= deadline:
                raise ExchangeTimeoutError("the deadline passed before the request was sent")
            try:
                sent += self._socket.send(memoryview(data)[sent:])
            except (OSError, MemoryError) as error:
                if self._expired:
                    raise ExchangeTimeoutError("the target does not read the request") from error
                raise _broken(error) from error


def _broken(error: OSError | MemoryError) -> ExchangeBrokenError:
    if note_shortage(error):
        return ExchangeShortageError(f"this router is short: {error!r}")
    return ExchangeBrokenError(str(error))


def connect(address: str, clock: Clock, seconds: float, watch: DeadlineWatch) -> TargetConnection:
    """Open a connection within ``seconds``. Errors: ``OSError``; nothing was sent then."""
    sock = socket.create_connection(split_address(address), timeout=seconds)
    try:
        sock.settimeout(None)
        disable_nagle(sock)
        set_keepalive(sock)
        return TargetConnection(sock, clock, watch)
    except BaseException:
        sock.close()
        raise
