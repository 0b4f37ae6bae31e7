"""One connection to a target, and one exchange on it at a time."""

from __future__ import annotations

import socket as sockets
from typing import TYPE_CHECKING

import gevent
from gevent import socket

from loomyard.util.addresses import split_address
from loomyard.util.tcp import disable_delay, end_if_silent
from loomyard_router.routed.answer_parser import AnswerParser

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.routed.deadline_watch import DeadlineWatch

READ_BYTES = 65536
# A longer body is sent by a task of its own, since the target may answer before it is read.
SMALL_BODY = 8192


class ExchangeBrokenError(OSError):
    """The connection broke, or what came on it was no answer."""


class ExchangeLateError(ExchangeBrokenError):
    """Nothing came until the deadline."""


class TargetConnection:
    """A connection; ``close`` from another task ends a wait with an error."""

    def __init__(self, sock: socket.socket, clock: Clock, watch: DeadlineWatch) -> None:
        self._socket = sock
        self._clock = clock
        self._watch = watch
        self._expired = False
        self._parser: AnswerParser | None = None
        self._sender: gevent.Greenlet | None = None
        self._sent = False
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
        """Tell whether the exchange ended so that another may follow."""
        parser = self._parser
        if parser is None or not parser.ended or parser.excess:
            return False
        return self._sent and not self.closed and parser.should_keep_alive()

    @property
    def quiet(self) -> bool:
        """Tell whether an idle connection is open and nothing has come on it."""
        try:
            self._socket._sock.recv(1, sockets.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, head: bytes, body: bytes, method: str, deadline: float) -> None:
        """Send a request; a long body goes on while the answer is awaited."""
        self._parser = AnswerParser(method)
        self._sent = False
        self._watch.begin(self, deadline)
        if len(body) <= SMALL_BODY:
            self._send_all(head + body, deadline)
        else:
            self._sender = gevent.spawn(self._send_apart, head + body, deadline)

    def read_head(self, deadline: float) -> None:
        """Wait for the head of the final answer."""
        parser = self._parser
        assert parser is not None
        while not parser.final:
            self._read(deadline)

    def read_block(self, deadline: float) -> bytes:
        """Return what has come of the body, waiting for some; empty at its end."""
        parser = self._parser
        assert parser is not None
        while True:
            data = parser.take_body()
            if data or parser.ended:
                return data
            self._read(deadline)

    def rest(self) -> None:
        """Take in that the exchange has ended and the connection is kept."""
        self._watch.end(self)

    def expire(self) -> None:
        """Close, since the deadline of the exchange has passed."""
        self._expired = True
        self.close()

    def close(self) -> None:
        """Close at once."""
        self.closed = True
        self._watch.end(self)
        sender, self._sender = self._sender, None
        if sender is not None:
            sender.kill(block=False)
        self._socket.close()

    def _read(self, deadline: float) -> None:
        if self._expired or self._clock.now() >= deadline:
            raise ExchangeLateError("the deadline passed")
        try:
            data = self._socket.recv(READ_BYTES)
        except OSError as error:
            if self._expired:
                raise ExchangeLateError("nothing came until the deadline") from error
            raise ExchangeBrokenError(str(error)) from error
        parser = self._parser
        assert parser is not None
        try:
            parser.feed(data)
        except Exception as error:  # the parser raises many types on bytes that are no answer
            raise ExchangeBrokenError(f"no answer: {error}") from error
        if not data and not parser.ended:
            raise ExchangeBrokenError("closed before the end of the answer")

    def _send_apart(self, data: bytes, deadline: float) -> None:
        try:
            self._send_all(data, deadline)
        except ExchangeBrokenError:
            # The reader sees the broken connection, or an answer that came before the body.
            return

    def _send_all(self, data: bytes, deadline: float) -> None:
        sent = 0
        while sent < len(data):
            if self._expired or self._clock.now() >= deadline:
                raise ExchangeLateError("the deadline passed before the request was sent")
            try:
                sent += self._socket.send(memoryview(data)[sent:])
            except OSError as error:
                if self._expired:
                    raise ExchangeLateError("the target does not read the request") from error
                raise ExchangeBrokenError(str(error)) from error
        self._sent = True


def connect(address: str, clock: Clock, seconds: float, watch: DeadlineWatch) -> TargetConnection:
    """Open a connection. Errors: ``OSError``; nothing was sent then."""
    sock = socket.create_connection(split_address(address), timeout=seconds)
    sock.settimeout(None)
    disable_delay(sock)
    end_if_silent(sock)
    return TargetConnection(sock, clock, watch)
