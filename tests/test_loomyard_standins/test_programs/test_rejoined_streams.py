"""Tests of streams that callers take up after all routers were killed around a release."""

from __future__ import annotations

import logging
import re
import signal
import socket
import time
import unittest
from typing import TYPE_CHECKING

import gevent
from attrs import define, field
from gevent.server import StreamServer

from loomyard_standins.programs import documents
from loomyard_standins.programs.soak_protocol import (
    API_KEY,
    ATTEMPT_ID_HEADER,
    HOST,
    LAST_EVENT_HEADER,
    RESUMES_HEADER,
    STAMP_HEADER,
)
from test_loomyard_standins.test_programs.program_case import ProgramCase

if TYPE_CHECKING:
    from loomyard_standins.programs.program import Program

logger = logging.getLogger(__name__)

ROUTERS, ENGINES_OF_A_VERSION = 4, 2
EVENTS, EVENT_SECONDS = 60, 0.1
STREAM_GAP_SECONDS = 0.05
# How long a target serves on after its entry is gone.
DRAIN_SECONDS = 3.0
DOWN_SECONDS = 0.5
# Callers go on trying for so long.
CALLER_SECONDS = 7.0
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


@define(eq=False)
class Stream:
    """What a caller has of one stream, over all of its attempts."""

    first_id: str
    versions: list[str] = field(factory=list)
    take_ups: int = 0
    went_on: bool = False
    statuses: list[int] = field(factory=list)

    @property
    def is_whole(self) -> bool:
        return len(self.versions) == EVENTS


class RejoinedStreamsTest(ProgramCase):
    """Engines of two versions stream events that name them; all routers are killed at once."""

    def setUp(self) -> None:
        super().setUp()
        self.hosts = [self.find_host(1 + number) for number in range(ROUTERS)]
        self.engines = 0
        self.current: list[str] = []
        self.release("v1")
        route = {"name": "s", "path_prefix": "/s/", "route_kind": "streaming", "service": "engine"}
        engine = {"slots": 200, "kv_capacity": 10_000_000}
        self.publish(
            [route | {"resumable": True, "max_attempts": 2}],
            [{"name": "engine", "max_conns": 500, "engine": engine}],
        )
        self.routers: list[Program] = []
        self.start_routers()
        self.sent = 0
        self.streams: list[Stream] = []

    def release(self, version: str) -> None:
        """Announce engines of a version; those there were stay."""
        for _ in range(ENGINES_OF_A_VERSION):
            self.engines += 1
            server = StreamServer((self.host, 0), self.make_engine(version))
            server.start()
            self.addCleanup(server.stop, 0)
            self.announce(f"t{self.engines}", "engine", server.server_port, version=version)
            self.current.append(f"t{self.engines}")

    def withdraw(self, count: int) -> None:
        """Let the oldest engines leave: their entries go, and they serve on for a while."""
        for target in self.current[:count]:
            self.put(documents.TARGETS_TOPIC, target, None)
        del self.current[:count]

    def make_engine(self, version: str) -> object:
        def serve(sock: socket.socket, _: object) -> None:
            data = b""
            try:
                while block := sock.recv(65536):
                    data += block
                    while b"\r\n\r\n" in data:
                        head, _, data = data.partition(b"\r\n\r\n")
                        self.stream_events(sock, head, version)
            except OSError:
                return

        return serve

    def stream_events(self, sock: socket.socket, head: bytes, version: str) -> None:
        attempt = re.search(rb"Loomyard-Attempt-Id: (\S+)", head)
        after = re.search(rb"Last-Event-Id: (\d+)", head)
        name = attempt[1].decode() if attempt else ""
        sock.sendall(
            f"HTTP/1.1 200 OK\r\n{ATTEMPT_ID_HEADER}: {name}\r\n{STAMP_HEADER}: s.{name}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(int(after[1]) + 1 if after else 1, EVENTS + 1):
            event = f"id: {number}\ndata: {version}\n\n".encode()
            sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            gevent.sleep(EVENT_SECONDS)
        sock.sendall(b"0\r\n\r\n")

    def start_routers(self) -> None:
        self.routers = [self.start_router(host, self.hosts[:3]) for host in self.hosts]
        with gevent.Timeout(30.0):
            for host in self.hosts:
                while not self.is_ready(host):
                    gevent.sleep(0.05)

    def is_ready(self, host: str) -> bool:
        try:
            with socket.create_connection((host, documents.READY_PORT), timeout=1.0) as sock:
                sock.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in sock.recv(1000)
        except OSError:
            return False

    def kill_all(self) -> None:
        """Kill all routers at the same moment, and start them again."""
        for router in self.routers:
            router.signal(signal.SIGKILL)
        gevent.sleep(DOWN_SECONDS)
        self.start_routers()

    def call(self, stream: Stream) -> None:
        """Read a stream as a caller does, and take it up wherever it breaks off."""
        until = time.monotonic() + CALLER_SECONDS
        attempt = stream.first_id
        while time.monotonic() < until and not stream.is_whole:
            had = len(stream.versions)
            status = self.read(self.hosts[self.sent % ROUTERS], attempt, stream)
            if attempt != stream.first_id and status:
                stream.take_ups += 1
                stream.went_on |= len(stream.versions) > had
                stream.statuses.append(status)
            self.sent += 1
            attempt = f"{stream.first_id}-{self.sent}"
            gevent.sleep(0.2)

    def read(self, host: str, attempt: str, stream: Stream) -> int:
        """Send one attempt and add the events that it brings; return its status, 0 for none."""
        lines = [
            "POST /s/x HTTP/1.1",
            f"Host: {HOST}",
            f"{ATTEMPT_ID_HEADER}: {attempt}",
            "Loomyard-Deadline-Ms: 12000",
            "Loomyard-Token-Usage: 10,60",
            f"Authorization: Bearer {API_KEY}",
            "Content-Length: 0",
        ]
        if stream.versions:
            lines += [
                f"{LAST_EVENT_HEADER}: {len(stream.versions)}",
                f"{RESUMES_HEADER}: {stream.first_id}",
            ]
        data = b""
        known = len(stream.versions)
        try:
            with socket.create_connection((host, documents.FRONT_PORT), timeout=2.0) as sock:
                sock.sendall("\r\n".join([*lines, "", ""]).encode())
                while block := sock.recv(65536):
                    data += block
                    events = _EVENT.findall(data)
                    stream.versions[known:] = [version.decode() for _, version in events]
                    if stream.is_whole:
                        break
        except OSError:
            pass
        return int(data.split(b" ")[1]) if data.startswith(b"HTTP/1.1 ") else 0

    def begin_streams(self, count: int) -> list[gevent.Greenlet]:
        tasks = []
        for _ in range(count):
            stream = Stream(f"s{len(self.streams)}")
            self.streams.append(stream)
            tasks.append(gevent.spawn(self.call, stream))
            gevent.sleep(STREAM_GAP_SECONDS)
        return tasks

    def check(self, tasks: list[gevent.Greenlet], moment: str) -> None:
        gevent.joinall(tasks, raise_error=True)
        streams = self.streams[-len(tasks) :]
        taken_up = [stream for stream in streams if stream.take_ups]
        went_on = [stream for stream in taken_up if stream.went_on]
        mixed = [stream for stream in streams if len(set(stream.versions)) > 1]
        statuses = sorted(status for stream in streams for status in stream.statuses)
        logger.info(
            "%s: %d of %d streams that were taken up went on, %d of two versions, statuses %s",
            moment,
            len(went_on),
            len(taken_up),
            len(mixed),
            {status: statuses.count(status) for status in statuses},
        )
        self.assertGreater(len(taken_up), 0)
        self.assertEqual([], [(one.first_id, one.versions) for one in mixed])

    # Guards against routers that join the versions of a stream, as they have no past of it.
    def test_no_stream_holds_two_versions_after_the_loss_of_all_routers_around_a_release(
        self,
    ) -> None:
        # The new version comes beside the old one; then all routers are lost.
        tasks = self.begin_streams(16)
        self.release("v2")
        gevent.sleep(0.5)
        tasks += self.begin_streams(8)
        self.kill_all()
        self.check(tasks, "two versions in service")
        # The old version leaves right before the loss.
        tasks = self.begin_streams(24)
        self.withdraw(ENGINES_OF_A_VERSION)
        gevent.sleep(0.3)
        self.kill_all()
        self.check(tasks, "the old version has just left")
        # It leaves, and the next one comes, while no router is there.
        tasks = self.begin_streams(24)
        for router in self.routers:
            router.signal(signal.SIGKILL)
        self.release("v3")
        self.withdraw(ENGINES_OF_A_VERSION)
        self.kill_all()
        self.check(tasks, "replaced while all routers were down")
        # The loss comes twice, with one version left at the second time.
        tasks = self.begin_streams(16)
        self.kill_all()
        gevent.sleep(0.5)
        self.release("v4")
        self.withdraw(ENGINES_OF_A_VERSION)
        self.kill_all()
        self.check(tasks, "lost twice")


if __name__ == "__main__":
    unittest.main()
