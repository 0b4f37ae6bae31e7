"""The HTTP handler of callers' connections, and their listener."""

from __future__ import annotations

import io
import logging
import secrets
from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from gevent import GreenletExit, Timeout
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler

from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard.util.read_buffer import receive
from loomyard.util.tcp import NoDelayServer, set_reset_on_close
from loomyard_router.callers.body_input import BodyInput
from loomyard_router.callers.caller_stream import CallerStream
from loomyard_router.callers.fields import MAX_BODY
from loomyard_router.callers.header_fields import (
    MAX_HEAD_BYTES,
    HeaderFields,
    HeadTooLargeError,
    read_header_fields,
)
from loomyard_router.callers.presence_watch import PresenceWatch
from loomyard_router.callers.problems import problem_document
from loomyard_router.requests.caller_presence import CallerPresence
from loomyard_router.requests.whole_answers import AnswerBrokenError
from loomyard_router.supervision.failures import record_failure

if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import BinaryIO

    from loomyard_router.callers.in_flight import InFlight

logger = logging.getLogger(__name__)

PRESENCE_KEY = "loomyard.presence"
TARGET_KEY = "REQUEST_URI"
CONNECTION_TIMEOUT = 60.0
MAX_LENGTH_DIGITS = 18
MAX_DISCARDED_BYTES = 1 << 24
MAX_DISCARD_SECONDS = 1.0
DISCARD_IDLE_SECONDS = 0.1
READ_SIZE = 65536
BODILESS_CODES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


class CallerHandler(WSGIHandler):
    """Refuse malformed HTTP with a problem document and watch for callers that disconnect.

    ``CONNECTION_TIMEOUT`` bounds each single read from and write to a caller.
    """

    server: CallerServer

    def __init__(self, sock: Any, address: Any, server: CallerServer) -> None:
        self._stream = CallerStream(sock)
        self._ends_by_close = False
        super().__init__(sock, address, server, rfile=io.BufferedReader(self._stream))

    @property
    def max_head_bytes(self) -> int:
        return MAX_HEAD_BYTES

    @property
    def max_body_bytes(self) -> int:
        return MAX_BODY

    @property
    def _has_framing(self) -> bool:
        """Tell whether the head of the answer tells the caller where its body ends."""
        if self.response_use_chunked or self.code in BODILESS_CODES:
            return True
        return any(name.lower() == b"content-length" for name, _ in self.response_headers)

    def read_requestline(self) -> str:
        self._stream.begin_request(head_bytes=self.max_head_bytes, body_bytes=self.max_body_bytes)
        return super().read_requestline()

    def MessageClass(self, file: BinaryIO, *_: object) -> HeaderFields:  # noqa: N802
        return read_header_fields(file, self.max_head_bytes)

    def _headers(self) -> Iterator[tuple[str, str]]:
        for name, value in self.headers.items():
            key = name.replace("-", "_").upper()
            # WSGI maps dashes to underscores, so ``a_b`` could pass for ``a-b``: drop it.
            if "_" not in name and key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
                yield f"HTTP_{key}", value

    def read_request(self, raw_requestline: str) -> bool:
        read = super().read_request(raw_requestline)
        lengths = self.headers.get_all("content-length", [])
        coding = self.headers.get("transfer-encoding")
        if len(lengths) > 1 or not all(_is_length(length) for length in lengths):
            raise ValueError("Content-Length is not one whole number")
        if coding is not None and coding.lower() != "chunked":
            raise ValueError("Transfer-Encoding is not chunked")
        return read

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[PRESENCE_KEY] = CallerPresence()
        environ[TARGET_KEY] = self.path
        return environ

    def run_application(self) -> None:
        watch = PresenceWatch(self.socket, self.environ[PRESENCE_KEY])
        if self.content_length or self.wsgi_input.chunked_input:
            self.environ["wsgi.input"] = BodyInput(self.wsgi_input, watch.start)
        else:
            watch.start()
        self.server.in_flight.record_start()
        try:
            super().run_application()
        except AnswerBrokenError:
            self.close_connection = True
        except GreenletExit:
            # The router ends; the server would wait for the rest of the body.
            self.close_connection = True
            self._forget_body()
            raise
        finally:
            self.server.in_flight.record_end()
            watch.stop()
            if self.close_connection or self.environ[PRESENCE_KEY].gone:
                self.close_connection = True
                self._skip_body()

    def process_result(self) -> None:
        super().process_result()
        if self._ends_by_close:
            self._ends_by_close = False
            set_reset_on_close(self.socket, False)

    def _sendall(self, data: bytes) -> None:
        size = len(data)
        sent = self.socket.send(data)
        # Each send has the whole timeout, so that a slow reader does not time out like a stuck one.
        while sent < size:
            sent += self.socket.send(memoryview(data)[sent:])
        self.response_length += size

    def _write(self, data: bytes) -> None:
        if data:
            self._sendall(self._frame(data))

    def _write_with_headers(self, data: bytes) -> None:
        self.headers_sent = True
        self.finalize_headers()
        if not self._has_framing:
            # Whatever ends the connection before the whole answer is written must not look like
            # the end of the answer.
            self._ends_by_close = True
            set_reset_on_close(self.socket, True)
        lines = [b"%b: %b\r\n" % header for header in self.response_headers]
        head = b"HTTP/1.1 %b\r\n%b\r\n" % (self.status, b"".join(lines))
        self._sendall(head + self._frame(data) if data else head)

    def _frame(self, data: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(data), data) if self.response_use_chunked else data

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        self.close_connection = True
        if isinstance(v, OSError | GreenletExit):
            # The connection was lost, or the router is stopping.
            return
        if self.headers_sent:
            # Part of an answer may be on its way; another one must not follow.
            self._log_error(t, v, tb)
            return
        super().handle_error(t, v, tb)

    def _log_error(self, t: Any, v: Any, tb: Any) -> None:
        record_failure("callers", v)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        self._discard_input()
        detail = str(ex) or type(ex).__name__
        fault = Fault(code=ResultCode.MALFORMED_REQUEST, detail=f"not an HTTP request: {detail}")
        emit(logger, Event.REQUEST_REFUSED, code=int(fault.code), detail=detail)
        kind, body = problem_document(fault, f"req-{secrets.token_hex(8)}", openai=False)
        status = HTTPStatus.BAD_REQUEST
        if isinstance(ex, HeadTooLargeError):
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        head = (
            f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: {kind}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return str(status.value), head.encode() + body

    def _skip_body(self) -> None:
        body = self.wsgi_input
        complete = body.position >= (body.content_length or 0) and not body.chunked_input
        if not complete and not self.environ[PRESENCE_KEY].gone:
            self._discard_input()
        self._forget_body()

    def _forget_body(self) -> None:
        self.wsgi_input.content_length = 0
        self.wsgi_input.chunked_input = False

    def _discard_input(self) -> None:
        """Read and discard unread input, since closing with some left would reset the connection.

        A reset could destroy the answer before the caller has read it.
        """
        self.socket.settimeout(DISCARD_IDLE_SECONDS)
        left = MAX_DISCARDED_BYTES
        with suppress(OSError), Timeout(MAX_DISCARD_SECONDS, False):
            while left > 0 and (data := receive(self.socket, READ_SIZE)):
                left -= len(data)


class CallerServer(NoDelayServer):
    """The listener for callers, which counts requests in flight."""

    handler_class = CallerHandler

    def __init__(self, *arguments: Any, in_flight: InFlight, **options: Any) -> None:
        super().__init__(*arguments, spawn=Pool(), **options)
        self.in_flight = in_flight

    def stop(self, timeout: float | None = 0) -> None:
        """Close the listener and all connections, idle ones included."""
        super().stop(timeout)

    def wrap_socket_and_handle(self, client_socket: Any, address: Any) -> Any:
        client_socket.settimeout(CONNECTION_TIMEOUT)
        return super().wrap_socket_and_handle(client_socket, address)

    def handle(self, sock: Any, address: Any) -> None:
        sock.settimeout(CONNECTION_TIMEOUT)
        super().handle(sock, address)


def _is_length(text: str) -> bool:
    text = text.strip()
    return text.isascii() and text.isdigit() and len(text) <= MAX_LENGTH_DIGITS
