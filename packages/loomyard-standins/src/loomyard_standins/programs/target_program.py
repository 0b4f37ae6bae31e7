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
    LEAVING_HEADER,
    NOT_EXECUTED_HEADER,
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
        emit(run=attempt_id, target=self.id, after=fields.get("last-event-id", ""), ending=crashing)
        gevent.sleep(WORK_SECONDS)
        if crashing is not None:
            self._crash(crashing)
        stamp = f"{STAMP_HEADER}: {self.id}.{attempt_id}"
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

    def _head(self, status: str, attempt_id: str, line: str, length: int | None) -> bytes:
        framing = (
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
            if length is None
            else f"Content-Length: {length}"
        )
        lines = [f"HTTP/1.1 {status}", f"{ATTEMPT_ID_HEADER}: {attempt_id}", line, framing]
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
        sock.sendall(self._head("200 OK", attempt_id, stamp, None))
        for number in range(after + 1, last + 1):
            event = stream_event(attempt_id, number, self.software_version)
            sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            gevent.sleep(EVENT_SECONDS)
        if complete:
            sock.sendall(b"0\r\n\r\n")
        return complete


def _receive(sock: socket.socket) -> bytes:
    block = sock.recv(BLOCK_BYTES)
    if not block:
        raise OSError("the router closed the connection")
    return block


def _fields(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    return {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}


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
