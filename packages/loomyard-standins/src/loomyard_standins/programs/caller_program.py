"""Callers as a program: requests of all kinds to all routers; each outcome is said."""

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

from loomyard_standins.programs.words import (  # noqa: E402
    ENDING_BODIES,
    HOST,
    HTTP_OK,
    LEAVING,
    PATHS,
    PROBE_HOST,
    REPEATABLE,
    SAME_BODIES,
    STAMP,
    STREAM,
    probe_path,
    request_headers,
    say,
    told,
    whole_answer,
    whole_stream,
)

if TYPE_CHECKING:
    from geventhttpclient.response import HTTPResponse

CALLERS = 6
PAUSE_SECONDS = 0.05
DEADLINE_SECONDS = 5.0
CONNECT_SECONDS = 1.0
PROBE_EVERY = 4
# How many versions back from the newest are asked for.
PROBED = 3
# A part of the callers leaves before the answer.
LEAVING_PART = 0.05
LEAVE_SECONDS = 0.1
# A part of the requests is the same word for word each time.
SAME_PART = 0.3
# Seconds between two comings of a request that ends targets, on average.
ENDING_SECONDS = 0.5


@define(eq=False)
class Caller:
    """One caller; it asks one router after the other and waits for each answer."""

    name: str
    routers: list[str]
    source: random.Random
    newest: list[int]
    _asked: int = field(default=0)

    def run(self) -> None:
        """Ask for ever."""
        while True:
            self._asked += 1
            router = self.source.choice(self.routers)
            if self._asked % PROBE_EVERY == 0:
                self._probe(router)
            else:
                kind = self.source.choice(list(PATHS))
                self._request(router, kind, self._choose_body())
            gevent.sleep(PAUSE_SECONDS * self.source.random())

    def run_ending(self) -> None:
        """Come again and again with one that ends targets, and with harmless ones beside it."""
        kind = self.source.choice(list(PATHS))
        while True:
            gevent.sleep(2 * ENDING_SECONDS * self.source.random())
            router = self.source.choice(self.routers)
            asking = []
            for body in (*SAME_BODIES, ENDING_BODIES[kind]):
                self._asked += 1
                asking.append(gevent.spawn(self._request, router, kind, body))
                gevent.sleep(0)
            gevent.joinall(asking)

    def _choose_body(self) -> bytes:
        if self.source.random() < SAME_PART:
            return self.source.choice(SAME_BODIES)
        return f"{self.name}-{self._asked}".encode() * self.source.randint(1, 40)

    def _request(self, router: str, kind: str, body: bytes) -> None:
        attempt_id = f"{self.name}-{self._asked}"
        leaves = self.source.random() < LEAVING_PART
        expected = whole_stream(attempt_id) if kind == STREAM else whole_answer(attempt_id, body)
        say(sent=attempt_id, kind=kind, router=router)
        seconds = LEAVE_SECONDS if leaves else DEADLINE_SECONDS + CONNECT_SECONDS
        status, got, ended = self._ask(
            router, HOST, f"{PATHS[kind]}x", attempt_id, body, time.monotonic() + seconds
        )
        whole = status == HTTP_OK and ended
        if leaves and not ended:
            say(left=attempt_id)
        say(
            saw=attempt_id,
            status=status,
            whole=whole,
            own=got == expected if whole else status != HTTP_OK or expected.startswith(got),
        )

    def _probe(self, router: str) -> None:
        """Ask for a route that a version added; only the status counts."""
        version = self.source.randint(max(1, self.newest[0] - PROBED), self.newest[0])
        attempt_id = f"{self.name}-{self._asked}"
        say(sent=attempt_id, kind=REPEATABLE, router=router)
        began = time.monotonic()
        until = began + DEADLINE_SECONDS
        status, _, _ = self._ask(router, PROBE_HOST, probe_path(version), attempt_id, b"", until)
        if status:
            say(probe=version, router=router, status=status, began=began)

    def _ask(
        self, router: str, host: str, path: str, attempt_id: str, body: bytes, until: float
    ) -> tuple[int, bytes, bool]:
        """Return status (0 without one), body as far as it came, and whether it ended whole."""
        client = HTTPClient.from_url(
            f"http://{router}",
            connection_timeout=CONNECT_SECONDS,
            network_timeout=DEADLINE_SECONDS,
        )
        headers = request_headers(attempt_id, DEADLINE_SECONDS) | {"Host": host}
        status, got, whole = 0, b"", False
        try:
            with gevent.Timeout(max(0.0, until - time.monotonic()), False):
                response = client.post(path, body=body, headers=headers)
                status = response.status_code
                self._note_leaving(router, response)
                while block := response.read(4096):
                    got += bytes(block)
                whole = response.message_complete
        except Exception as error:  # the client raises many types on a broken connection
            say(broken=attempt_id, detail=repr(error))
        finally:
            client.close()
        return status, got, whole

    def _note_leaving(self, router: str, response: HTTPResponse) -> None:
        """Say that a router passed on an answer by which a target says that it leaves."""
        if response.get(LEAVING):
            target, _, _ = str(response.get(STAMP, "")).partition(".")
            say(passed_leaving=target, router=router)


def main() -> int:
    """Ask as ``SEED ROUTER...`` says until standard input ends; its lines are newest versions."""
    seed, *routers = sys.argv[1:]
    newest = [1]
    for number in range(CALLERS):
        caller = Caller(f"c{number}", routers, random.Random(f"{seed} {number}"), newest)
        gevent.spawn(caller.run)
    ending = Caller("e", routers, random.Random(f"{seed} ending"), newest)
    gevent.spawn(ending.run_ending)
    for line in told():
        newest[0] = int(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
