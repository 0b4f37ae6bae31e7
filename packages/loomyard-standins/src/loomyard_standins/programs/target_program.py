"""A target as a program: it reports each request that it runs, and fails at random."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
from typing import TYPE_CHECKING  # noqa: E402

import gevent  # noqa: E402
from attrs import define, field  # noqa: E402
from gevent.event import Event  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

from loomyard_standins.programs.soak_protocol import (  # noqa: E402
    ATTEMPT_ID_HEADER,
    CRASHING_BODIES,
    CRASHING_PART,
    CRASHING_PART_KIND,
    LEAVING_HEADER,
    NOT_EXECUTED_HEADER,
    PROMPT_HEADER,
    RETRY_AFTER_HEADER,
    STAMP_HEADER,
    STREAM,
    STREAM_EVENTS,
    emit,
    expected_answer,
    input_lines,
    stream_event,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

# Fractions of the requests that are refused, cut off midway or answered with status 500.
REFUSED_FRACTION = 0.1
CUT_FRACTION = 0.05
ERROR_FRACTION = 0.05
# Fraction of the streams that have neither a length nor chunks and end with their connection.
UNFRAMED_FRACTION = 0.2
# The most events of a stream before its target crashes on a part of the prompt.
MAX_EVENTS_BEFORE_CRASH = 2
HALF_EVENT_FRACTION = 0.3
WORK_SECONDS = 0.02
EVENT_SECONDS = 0.03
BLOCK_BYTES = 65536
EXIT_STATUS = 1


@define(eq=False)
class TargetProgram:
    """One incarnation of a target; ``kind`` is the kind of requests that it serves."""

    id: str
    kind: str
    software_version: str
    rng: random.Random
    # Notices in its answers: that it leaves, and the back-off in seconds that its refusals ask for.
    leaving: bool = False
    backoff: float = 0.0
    _exit_allowed: Event = field(factory=Event)

    def run_commands(self, lines: Iterable[str]) -> None:
        """Execute commands, a JSON document a line, until one allows the exit or the input ends."""
        for line in lines:
            command = json.loads(line)
            self.leaving = command.get("leaving", self.leaving)
            self.backoff = command.get("rest", self.backoff)
            if command.get("end"):
                break
        self._exit_allowed.set()

    def serve(self, sock: socket.socket, _: object) -> None:
        """Answer the requests of a connection, with keep-alive."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    data += _receive(sock)
                head, _, data = data.partition(b"\r\n\r\n")
                fields = _fields(head)
                length = int(fields.get("content-length", 0))
                while len(data) < length:
                    data += _receive(sock)
                body, data = data[:length], data[length:]
                if not self._answer(sock, fields, body):
                    return
        except OSError:
            return
        finally:
            sock.close()

    def _answer(self, sock: socket.socket, fields: dict[str, str], body: bytes) -> bool:
        """Answer a request; return false if the connection is to be closed."""
        attempt_id = fields.get(ATTEMPT_ID_HEADER.lower(), "")
        if self.backoff:
            emit(turned_away=attempt_id, target=self.id, rest=self.backoff)
            lines = f"{NOT_EXECUTED_HEADER}: 1\r\n{RETRY_AFTER_HEADER}: {self.backoff:g}"
            sock.sendall(self._head("503 Service Unavailable", attempt_id, lines, 0))
            return True
        if self.rng.random() < REFUSED_FRACTION:
            line = f"{NOT_EXECUTED_HEADER}: 1"
            sock.sendall(self._head("503 Service Unavailable", attempt_id, line, 0))
            return True
        crashing = next((kind for kind, bad in CRASHING_BODIES.items() if bad == body), None)
        if self.kind == STREAM and CRASHING_PART in _shared_parts(fields):
            crashing = CRASHING_PART_KIND
        emit(run=attempt_id, target=self.id, after=fields.get("last-event-id", ""), ending=crashing)
        gevent.sleep(WORK_SECONDS)
        stamp = f"{STAMP_HEADER}: {self.id}.{attempt_id}"
        if crashing == CRASHING_PART_KIND:
            self._begin_stream(sock, attempt_id, stamp, fields)
        if crashing is not None:
            self._crash(crashing)
        if self.rng.random() < ERROR_FRACTION:
            sock.sendall(self._head("500 Internal Server Error", attempt_id, stamp, 0))
            return True
        complete = self.rng.random() >= CUT_FRACTION
        if self.kind == STREAM:
            return self._stream(sock, attempt_id, stamp, fields, complete=complete)
        answer = expected_answer(attempt_id, body)
        sock.sendall(self._head("200 OK", attempt_id, stamp, len(answer)))
        sock.sendall(answer if complete else answer[: len(answer) // 2])
        return complete

    def _crash(self, kind: str) -> None:
        """Exit once the soak has closed the address, which a VM would do at the same moment."""
        emit(ends=kind, target=self.id)
        self._exit_allowed.wait()
        os._exit(EXIT_STATUS)

    def _begin_stream(
        self, sock: socket.socket, attempt_id: str, stamp: str, fields: dict[str, str]
    ) -> None:
        """Send the head of a stream, some events and maybe half of one, framed or not."""
        after = int(fields.get("last-event-id") or 0)
        chunked = self.rng.random() >= UNFRAMED_FRACTION
        sock.sendall(self._stream_head(attempt_id, stamp, chunked=chunked))
        last = min(STREAM_EVENTS - 1, after + self.rng.randint(0, MAX_EVENTS_BEFORE_CRASH))
        for number in range(after + 1, last + 1):
            self._send_event(sock, attempt_id, number, chunked=chunked)
        if self.rng.random() < HALF_EVENT_FRACTION:
            self._send_event(sock, attempt_id, last + 1, chunked=chunked, whole=False)

    def _send_event(
        self,
        sock: socket.socket,
        attempt_id: str,
        number: int,
        *,
        chunked: bool,
        whole: bool = True,
    ) -> None:
        event = stream_event(attempt_id, number, self.software_version)
        event = event if whole else event[: len(event) // 2]
        sock.sendall(b"%x\r\n%b\r\n" % (len(event), event) if chunked else event)

    def _stream_head(self, attempt_id: str, stamp: str, *, chunked: bool) -> bytes:
        framing = ["Transfer-Encoding: chunked"] if chunked else []
        return self._head_of_lines(
            "200 OK", attempt_id, [stamp, "Content-Type: text/event-stream", *framing]
        )

    def _head(self, status: str, attempt_id: str, line: str, length: int) -> bytes:
        return self._head_of_lines(status, attempt_id, [line, f"Content-Length: {length}"])

    def _head_of_lines(self, status: str, attempt_id: str, added: list[str]) -> bytes:
        lines = [f"HTTP/1.1 {status}", f"{ATTEMPT_ID_HEADER}: {attempt_id}", *added]
        if self.leaving:
            lines.append(f"{LEAVING_HEADER}: 1")
        return "\r\n".join([*lines, "", ""]).encode()

    def _stream(
        self,
        sock: socket.socket,
        attempt_id: str,
        stamp: str,
        fields: dict[str, str],
        *,
        complete: bool,
    ) -> bool:
        after = int(fields.get("last-event-id") or 0)
        last = STREAM_EVENTS if complete else self.rng.randint(after, STREAM_EVENTS - 1)
        chunked = self.rng.random() >= UNFRAMED_FRACTION
        sock.sendall(self._stream_head(attempt_id, stamp, chunked=chunked))
        for number in range(after + 1, last + 1):
            self._send_event(sock, attempt_id, number, chunked=chunked)
            gevent.sleep(EVENT_SECONDS)
        if not complete and not chunked:
            # Without chunks only half an event shows that the answer was cut off.
            self._send_event(sock, attempt_id, last + 1, chunked=False, whole=False)
        if complete and chunked:
            sock.sendall(b"0\r\n\r\n")
        return complete and chunked


def _receive(sock: socket.socket) -> bytes:
    block = sock.recv(BLOCK_BYTES)
    if not block:
        raise OSError("the router closed the connection")
    return block


def _fields(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    return {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}


def _shared_parts(fields: dict[str, str]) -> list[str]:
    """Return the ids of the parts of a prompt but the last, which is the request's own."""
    prompt = fields.get(PROMPT_HEADER.lower(), "")
    return [part.partition(":")[0] for part in prompt.split(",")[:-1]]


def main() -> int:
    """Serve with the arguments ``ID KIND VERSION HOST SEED`` until the process is killed."""
    target_id, kind, software_version, host, seed = sys.argv[1:6]
    target = TargetProgram(target_id, kind, software_version, random.Random(seed))
    server = StreamServer((host, 0), target.serve)
    server.start()
    emit(listening=server.server_port)
    gevent.spawn(target.run_commands, input_lines())
    server.serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
