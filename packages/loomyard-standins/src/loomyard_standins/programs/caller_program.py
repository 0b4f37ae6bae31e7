"""Callers as a program: send requests of all kinds to all routers and report each outcome."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from typing import TYPE_CHECKING  # noqa: E402

import gevent  # noqa: E402
from attrs import define, field  # noqa: E402
from geventhttpclient import HTTPClient  # noqa: E402

from loomyard_standins.programs.soak_protocol import (  # noqa: E402
    CRASHING_BODIES,
    CRASHING_PART,
    HOST,
    HTTP_OK,
    IDEMPOTENT,
    LAST_EVENT_HEADER,
    LEAVING_HEADER,
    PATHS,
    PROBE_HOST,
    REPEATED_BODIES,
    RESUMES_HEADER,
    STAMP_HEADER,
    STREAM,
    STREAM_EVENTS,
    emit,
    expected_answer,
    input_lines,
    probe_path,
    read_stream,
    request_headers,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geventhttpclient.response import HTTPResponse

CALLERS = 6
MAX_PAUSE_SECONDS = 0.05
DEADLINE_SECONDS = 5.0
CONNECT_SECONDS = 1.0
PROBE_EVERY = 4
# How many versions before the newest are probed.
PROBED_VERSIONS = 3
# Fraction of the requests whose caller disconnects after DISCONNECT_SECONDS without an answer.
DISCONNECT_FRACTION = 0.05
DISCONNECT_SECONDS = 0.1
# Fraction of the streams whose caller closes the connection after the first event, to take them
# up at once at another router; and how often each caller takes up one that breaks off.
CLOSE_FRACTION = 0.3
MAX_TAKE_UPS = 3
BLOCK_BYTES = 4096
EVENT_BLOCK_BYTES = 8
# Pause after an attempt that brought nothing.
RETRY_SECONDS = 0.3
# Fraction of the requests with one of the bodies that are sent again and again.
REPEATED_FRACTION = 0.3
# Mean time in seconds between two sends of a poison request.
CRASHING_PERIOD_SECONDS = 0.5
# The same for streams with a part on which engines crash.
CRASHING_PART_PERIOD_SECONDS = 1.0
# Parts that prompts of sound requests share.
MIDDLE_PARTS = ["0a11ce01", "0a11ce02", "0a11ce03"]


@define(eq=False)
class Caller:
    """One caller, which sends one request after the other to random routers."""

    name: str
    routers: list[str]
    rng: random.Random
    newest: list[int]
    _sent_count: int = field(default=0)

    def run(self) -> None:
        """Send requests and probes for ever."""
        while True:
            self._sent_count += 1
            router = self.rng.choice(self.routers)
            if self._sent_count % PROBE_EVERY == 0:
                self._probe(router)
            else:
                kind = self.rng.choice(list(PATHS))
                self._request(router, kind, self._choose_body())
            gevent.sleep(MAX_PAUSE_SECONDS * self.rng.random())

    def run_crashing(self) -> None:
        """Send a poison request again and again, each time with harmless ones beside it."""
        kind = self.rng.choice(list(PATHS))
        while True:
            gevent.sleep(2 * CRASHING_PERIOD_SECONDS * self.rng.random())
            router = self.rng.choice(self.routers)
            requests = []
            for body in (*REPEATED_BODIES, CRASHING_BODIES[kind]):
                self._sent_count += 1
                requests.append(gevent.spawn(self._request, router, kind, body))
                gevent.sleep(0)
            gevent.joinall(requests)

    def run_crashing_part(self) -> None:
        """Send streams with a part on which engines crash, no two alike, one after the other."""
        while True:
            gevent.sleep(2 * CRASHING_PART_PERIOD_SECONDS * self.rng.random())
            self._sent_count += 1
            router = self.rng.choice(self.routers)
            attempt_id = f"{self.name}-{self._sent_count}"
            body = attempt_id.encode()
            self._stream_part(
                router,
                body,
                attempt_id,
                attempt_id,
                after=0,
                seconds=DEADLINE_SECONDS + CONNECT_SECONDS,
                most_events=None,
                middle=CRASHING_PART,
            )

    def _choose_body(self) -> bytes:
        if self.rng.random() < REPEATED_FRACTION:
            return self.rng.choice(REPEATED_BODIES)
        return f"{self.name}-{self._sent_count}".encode() * self.rng.randint(1, 40)

    def _request(self, router: str, kind: str, body: bytes) -> None:
        if kind == STREAM:
            self._stream(router, body)
            return
        attempt_id = f"{self.name}-{self._sent_count}"
        disconnects = self.rng.random() < DISCONNECT_FRACTION
        expected = expected_answer(attempt_id, body)
        emit(sent=attempt_id, kind=kind, router=router)
        seconds = DISCONNECT_SECONDS if disconnects else DEADLINE_SECONDS + CONNECT_SECONDS
        status, received, completed = self._post(
            router, HOST, f"{PATHS[kind]}x", attempt_id, body, time.monotonic() + seconds
        )
        whole = status == HTTP_OK and completed
        if disconnects and not completed:
            emit(left=attempt_id)
        emit(
            saw=attempt_id,
            status=status,
            whole=whole,
            own=(
                received == expected
                if whole
                else status != HTTP_OK or expected.startswith(received)
            ),
        )

    def _stream(self, router: str, body: bytes) -> None:
        """Send a request for a stream, and take it up at other routers where it breaks off."""
        first_id = f"{self.name}-{self._sent_count}"
        disconnects = self.rng.random() < DISCONNECT_FRACTION
        closes = self.rng.random() < CLOSE_FRACTION
        after, attempt_id = 0, first_id
        for number in range(1 + MAX_TAKE_UPS):
            if number:
                attempt_id = f"{first_id}-{number}"
                router = self.rng.choice([one for one in self.routers if one != router] or [router])
            last, whole = self._stream_part(
                router,
                body,
                first_id,
                attempt_id,
                after=after,
                seconds=DISCONNECT_SECONDS if disconnects else DEADLINE_SECONDS + CONNECT_SECONDS,
                most_events=1 if closes and not number else None,
            )
            if whole or disconnects or last in (0, STREAM_EVENTS):
                return
            if last == after:
                gevent.sleep(RETRY_SECONDS)
            after = last

    def _stream_part(
        self,
        router: str,
        body: bytes,
        first_id: str,
        attempt_id: str,
        *,
        after: int,
        seconds: float,
        most_events: int | None,
        middle: str = "",
    ) -> tuple[int, bool]:
        """Make one attempt; return the last event that has come and whether the stream is whole."""
        emit(sent=attempt_id, kind=STREAM, router=router)
        headers = {LAST_EVENT_HEADER: str(after), RESUMES_HEADER: first_id} if after else {}
        status, received, completed = self._post(
            router,
            HOST,
            f"{PATHS[STREAM]}x",
            attempt_id,
            body,
            time.monotonic() + seconds,
            headers=headers,
            most_events=most_events,
            middle=middle or MIDDLE_PARTS[sum(first_id.encode()) % len(MIDDLE_PARTS)],
        )
        read = read_stream(attempt_id, after, received if status == HTTP_OK else b"")
        whole = status == HTTP_OK and completed
        if seconds == DISCONNECT_SECONDS and not completed:
            emit(left=attempt_id)
        emit(
            saw=attempt_id,
            status=status,
            whole=whole,
            own=read.is_own and (read.is_whole or not whole),
            stream=first_id,
            harmless=body not in CRASHING_BODIES.values() and middle != CRASHING_PART,
            versions=read.versions,
        )
        return read.last, whole

    def _probe(self, router: str) -> None:
        """Probe the route that a version added; only the status counts."""
        version = self.rng.randint(max(1, self.newest[0] - PROBED_VERSIONS), self.newest[0])
        attempt_id = f"{self.name}-{self._sent_count}"
        emit(sent=attempt_id, kind=IDEMPOTENT, router=router)
        started_at = time.monotonic()
        until = started_at + DEADLINE_SECONDS
        status, _, _ = self._post(router, PROBE_HOST, probe_path(version), attempt_id, b"", until)
        if status:
            emit(probe=version, router=router, status=status, began=started_at)

    def _post(
        self,
        router: str,
        host: str,
        path: str,
        attempt_id: str,
        body: bytes,
        until: float,
        *,
        headers: Mapping[str, str] = {},
        most_events: int | None = None,
        middle: str = "",
    ) -> tuple[int, bytes, bool]:
        """Return status (0 if none came), the bytes received and whether the answer is complete.

        The connection is closed after ``most_events`` events.
        """
        client = HTTPClient.from_url(
            f"http://{router}",
            connection_timeout=CONNECT_SECONDS,
            network_timeout=DEADLINE_SECONDS,
        )
        fields = request_headers(attempt_id, DEADLINE_SECONDS, middle)
        fields |= {"Host": host} | {**headers}
        status, received, whole = 0, b"", False
        try:
            with gevent.Timeout(max(0.0, until - time.monotonic()), False):
                response = client.post(path, body=body, headers=fields)
                status = response.status_code
                self._report_leaving(router, response)
                # A read returns only once its block is full.
                size = BLOCK_BYTES if most_events is None else EVENT_BLOCK_BYTES
                while block := response.read(size):
                    received += bytes(block)
                    if most_events is not None and received.count(b"\n\n") >= most_events:
                        break
                else:
                    whole = response.message_complete
        except Exception as error:  # the client raises many types on a broken connection
            emit(broken=attempt_id, detail=repr(error))
        finally:
            client.close()
        return status, received, whole

    def _report_leaving(self, router: str, response: HTTPResponse) -> None:
        """Report an answer in which a router forwarded the notice that a target leaves."""
        if response.get(LEAVING_HEADER):
            target, _, _ = str(response.get(STAMP_HEADER, "")).partition(".")
            emit(passed_leaving=target, router=router)


def main() -> int:
    """Run callers with the arguments ``SEED ROUTER...`` until standard input ends.

    Each line of standard input is the newest version of the configuration.
    """
    seed, *routers = sys.argv[1:]
    newest = [1]
    for number in range(CALLERS):
        caller = Caller(f"c{number}", routers, random.Random(f"{seed} {number}"), newest)
        gevent.spawn(caller.run)
    crashing = Caller("e", routers, random.Random(f"{seed} ending"), newest)
    gevent.spawn(crashing.run_crashing)
    crashing_part = Caller("p", routers, random.Random(f"{seed} crashing part"), newest)
    gevent.spawn(crashing_part.run_crashing_part)
    for line in input_lines():
        newest[0] = int(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
