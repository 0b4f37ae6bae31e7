"""A target as a program: it says each request that it begins to run, and fails on purpose."""

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

from loomyard_standins.programs.words import (  # noqa: E402
    ATTEMPT_ID,
    ENDING_BODIES,
    LEAVING,
    NOT_EXECUTED,
    RETRY_AFTER,
    STAMP,
    STREAM,
    STREAM_EVENTS,
    say,
    stream_event,
    told,
    whole_answer,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

# Parts of the requests that are refused, break off midway or end in an error of the target.
REFUSED_PART = 0.1
CUT_PART = 0.05
ERROR_PART = 0.05
WORK_SECONDS = 0.02
EVENT_SECONDS = 0.03
BLOCK_BYTES = 65536
ENDED = 1


@define(eq=False)
class TargetProgram:
    """One life of a target; ``kind`` tells what its service does."""

    id: str
    kind: str
    source: random.Random
    # What it says of itself in its answers: that it leaves, and the seconds of rest it wants.
    leaving: bool = False
    rest: float = 0.0
    _may_end: Event = field(factory=Event)

    def follow(self, lines: Iterable[str]) -> None:
        """Do what lines of JSON say until they end."""
        for line in lines:
            told_now = json.loads(line)
            self.leaving = told_now.get("leaving", self.leaving)
            self.rest = told_now.get("rest", self.rest)
            if told_now.get("end"):
                break
        self._may_end.set()

    def serve(self, sock: socket.socket, _: object) -> None:
        """Answer the requests of a connection."""
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
        """Answer a request; false where the connection is to end."""
        attempt_id = fields.get(ATTEMPT_ID.lower(), "")
        if self.rest:
            say(turned_away=attempt_id, target=self.id, rest=self.rest)
            lines = f"{NOT_EXECUTED}: 1\r\n{RETRY_AFTER}: {self.rest:g}"
            sock.sendall(self._head("503 Service Unavailable", attempt_id, lines, 0))
            return True
        if self.source.random() < REFUSED_PART:
            line = f"{NOT_EXECUTED}: 1"
            sock.sendall(self._head("503 Service Unavailable", attempt_id, line, 0))
            return True
        ending = next((kind for kind, ends in ENDING_BODIES.items() if ends == body), None)
        say(run=attempt_id, target=self.id, after=fields.get("last-event-id", ""), ending=ending)
        gevent.sleep(WORK_SECONDS)
        if ending is not None:
            self._end(ending)
        stamp = f"{STAMP}: {self.id}.{attempt_id}"
        if self.source.random() < ERROR_PART:
            sock.sendall(self._head("500 Internal Server Error", attempt_id, stamp, 0))
            return True
        whole = self.source.random() >= CUT_PART
        if self.kind == STREAM:
            return self._stream(sock, attempt_id, stamp, fields, whole=whole)
        answer = whole_answer(attempt_id, body)
        sock.sendall(self._head("200 OK", attempt_id, stamp, len(answer)))
        sock.sendall(answer if whole else answer[: len(answer) // 2])
        return whole

    def _end(self, ending: str) -> None:
        """End once the running process has closed the address, as a machine does at once."""
        say(ends=ending, target=self.id)
        self._may_end.wait()
        os._exit(ENDED)

    def _head(self, status: str, attempt_id: str, line: str, length: int | None) -> bytes:
        framing = (
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
            if length is None
            else f"Content-Length: {length}"
        )
        lines = [f"HTTP/1.1 {status}", f"{ATTEMPT_ID}: {attempt_id}", line, framing]
        if self.leaving:
            lines.append(f"{LEAVING}: 1")
        return "\r\n".join([*lines, "", ""]).encode()

    def _stream(
        self,
        sock: socket.socket,
        attempt_id: str,
        stamp: str,
        fields: dict[str, str],
        *,
        whole: bool,
    ) -> bool:
        after = int(fields.get("last-event-id") or 0)
        last = STREAM_EVENTS if whole else self.source.randint(after, STREAM_EVENTS - 1)
        sock.sendall(self._head("200 OK", attempt_id, stamp, None))
        for number in range(after + 1, last + 1):
            event = stream_event(attempt_id, number)
            sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            gevent.sleep(EVENT_SECONDS)
        if whole:
            sock.sendall(b"0\r\n\r\n")
        return whole


def _receive(sock: socket.socket) -> bytes:
    block = sock.recv(BLOCK_BYTES)
    if not block:
        raise OSError("the router closed the connection")
    return block


def _fields(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    return {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}


def main() -> int:
    """Serve as ``ID KIND HOST SEED`` until the process is ended."""
    id_, kind, host, seed = sys.argv[1:5]
    target = TargetProgram(id_, kind, random.Random(seed))
    server = StreamServer((host, 0), target.serve)
    server.start()
    say(listening=server.server_port)
    gevent.spawn(target.follow, told())
    server.serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
