"""The log store as a program: appends, long-poll reads, listings; commands on standard input."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import base64  # noqa: E402
import json  # noqa: E402
import struct  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections import defaultdict  # noqa: E402
from typing import TYPE_CHECKING, Any  # noqa: E402
from urllib.parse import parse_qs  # noqa: E402

import gevent  # noqa: E402
from attrs import define, field  # noqa: E402
from gevent.event import Event  # noqa: E402

from loomyard.util.tcp import NoDelayServer  # noqa: E402
from loomyard_standins.programs.soak_protocol import (  # noqa: E402
    MILLISECONDS_PER_SECOND,
    emit,
    input_lines,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

ERA_HEADER = "Store-Era"
# Key of filler records, which stand for other writers; no router reads it.
FILLER_KEY = "nobody's"


@define(eq=False)
class Topic:
    """Records by offset; a value of ``None`` deletes its key.

    ``end_before_rollback`` is its end offset before the last rollback.
    """

    records: list[tuple[str, bytes | None]] = field(factory=list)
    end_before_rollback: int = 0
    written_at: list[float] = field(factory=list)
    grown: Event = field(factory=Event)

    def add(self, key: str, value: bytes | None) -> None:
        """Append a record and wake the reads that wait for it."""
        self.records.append((key, value))
        self.written_at.append(time.monotonic())
        grown, self.grown = self.grown, Event()
        grown.set()

    def roll_back(self, seconds: float) -> None:
        """Drop the records written in the last seconds."""
        oldest = time.monotonic() - seconds
        kept = sum(at <= oldest for at in self.written_at)
        self.end_before_rollback = len(self.records)
        del self.records[kept:], self.written_at[kept:]


@define(eq=False)
class StoreProgram:
    """Topics with one partition each; ``busy`` refuses every call, ``era`` counts rollbacks."""

    busy: bool = False
    era: int = 0
    topics: defaultdict[str, Topic] = field(factory=lambda: defaultdict(Topic))

    def serve(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        """Answer a call; this is a WSGI application."""
        query = {name: values[0] for name, values in parse_qs(environ["QUERY_STRING"]).items()}
        topic = self.topics[query["topic"]]
        if self.busy:
            return self._answer(start_response, "503 Service Unavailable", b"")
        if environ["PATH_INFO"] == "/log-append":
            body = _append(topic, environ["wsgi.input"].read())
        elif environ["PATH_INFO"] == "/log-read":
            offset = int(query["from"])
            body = self._read(topic, offset, int(query["wait_ms"]) / MILLISECONDS_PER_SECOND)
            if self.busy:
                return self._answer(start_response, "503 Service Unavailable", b"")
            if offset > len(topic.records):
                gone = json.dumps({"first_offset": 0}).encode()
                return self._answer(start_response, "410 Gone", gone)
        else:
            body = _list(topic)
        return self._answer(start_response, "200 OK", body)

    def _answer(self, start_response: Callable, status: str, body: bytes) -> Iterable[bytes]:
        headers = [("Content-Length", str(len(body))), (ERA_HEADER, str(self.era))]
        start_response(status, headers)
        return [body]

    def run_commands(self, lines: Iterable[str]) -> None:
        """Execute commands, a JSON document a line, until the input ends."""
        for line in lines:
            command = json.loads(line)
            if "busy" in command:
                self.busy = command["busy"]
                continue
            if "fall_back" in command:
                self._roll_back(command["fall_back"])
                continue
            if "outgrow" in command:
                self._grow_past_rollback()
                continue
            value = None if command["value"] is None else command["value"].encode()
            self.topics[command["topic"]].add(command["key"], value)
            emit(acked=command["key"], version=command.get("version"), dropped=value is None)

    def _roll_back(self, seconds: float) -> None:
        """Return to the state of some seconds ago and begin a new era."""
        self.era += 1
        for topic in self.topics.values():
            topic.roll_back(seconds)

    def _grow_past_rollback(self) -> None:
        """Append filler until each topic is longer than before the last rollback."""
        for topic in self.topics.values():
            while len(topic.records) <= topic.end_before_rollback:
                topic.add(FILLER_KEY, None)

    def _read(self, topic: Topic, offset: int, wait: float) -> bytes:
        with gevent.Timeout(wait, False):
            while offset == len(topic.records):
                topic.grown.wait()
        content = [_encode(key, value) for key, value in topic.records[offset:]]
        return struct.pack(">QQ", len(topic.records), 0) + b"".join(content)


def _append(topic: Topic, content: bytes) -> bytes:
    first = len(topic.records)
    while content:
        (length,) = struct.unpack_from(">I", content)
        record, content = content[4 : 4 + length], content[4 + length :]
        end = 1 + record[0]
        topic.add(record[1:end].decode(), record[end:] or None)
    return json.dumps({"offset": first, "end_offset": len(topic.records)}).encode()


def _list(topic: Topic) -> bytes:
    newest = {key: (offset, value) for offset, (key, value) in enumerate(topic.records)}
    items = [
        {"tls_key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        for key, (offset, value) in newest.items()
        if value is not None
    ]
    document = {"items": items, "truncated": False, "end_offset": len(topic.records)}
    return json.dumps(document).encode()


def _encode(key: str, value: bytes | None) -> bytes:
    content = bytes([len(key)]) + key.encode() + (value or b"")
    return struct.pack(">I", len(content)) + content


def main() -> int:
    """Serve at the address of the first argument until standard input ends."""
    host, _, port = sys.argv[1].rpartition(":")
    store = StoreProgram()
    server = NoDelayServer((host, int(port)), store.serve, log=None)
    server.start()
    emit(listening=server.server_port)
    store.run_commands(input_lines())
    return 0


if __name__ == "__main__":
    sys.exit(main())
