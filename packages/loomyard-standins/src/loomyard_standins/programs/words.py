"""What the soak's programs say on the wire and to the process that runs them."""

from __future__ import annotations

import hashlib
import json
import signal
import sys
import time
from typing import TYPE_CHECKING, Any

from gevent.fileobject import FileObject

if TYPE_CHECKING:
    from collections.abc import Iterator

# Said to a router's process before a stop that is a suspension.
SUSPENDING = signal.SIGUSR1
STREAM_EVENTS = 12
MILLISECONDS = 1000
HTTP_OK = 200
# An answer with one of these promises that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
STAMP = "Loomyard-Server-Stamp"
ATTEMPT_ID = "Loomyard-Attempt-Id"
DEADLINE = "Loomyard-Deadline-Ms"
NOT_EXECUTED = "Loomyard-Not-Executed"
# What a target says of itself: that it leaves, in all answers, and with a refusal a time of rest.
LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
HOST = "soak.example"
PROBE_HOST = "probe.example"
KEY = "soak-key"
# What says how large a prompt is; only engines look at it.
PROMPT = {
    "Loomyard-Model": "m",
    "Loomyard-Token-Usage": "120,24",
    "Loomyard-Prompt-Prefix": "5c1e07a2:120",
}
# Kinds of requests, and the paths under which their routes stand.
ONCE, REPEATABLE, STREAM = "non_idempotent", "idempotent", "streaming"
PATHS = {ONCE: "/once/", REPEATABLE: "/again/", STREAM: "/stream/"}
# A target that begins to run one of these ends, and all that runs there with it.
ENDING_BODIES = {kind: f"ends targets {kind}".encode() for kind in PATHS}
# Harmless ones that come again word for word.
SAME_BODIES = [f"the same {number}".encode() for number in range(4)]


def say(**fields: Any) -> None:
    """Tell the running process something, with the time of the machine's steady clock."""
    fields["at"] = time.monotonic()
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def told() -> Iterator[str]:
    """Return the lines of standard input, without holding other tasks up."""
    return iter(FileObject(sys.stdin.fileno(), "r", close=False).readline, "")


def whole_answer(attempt_id: str, body: bytes) -> bytes:
    """Return what a plain target answers to a request; nothing else is its answer."""
    digest = hashlib.sha256(attempt_id.encode() + b"|" + body).hexdigest()
    return f"{attempt_id} {digest} ".encode() * 20


def stream_event(attempt_id: str, number: int) -> bytes:
    """Return an event of a stream; the first has number 1."""
    return f"id: {number}\ndata: {attempt_id} {number}\n\n".encode()


def whole_stream(attempt_id: str) -> bytes:
    """Return all events of a stream."""
    return b"".join(stream_event(attempt_id, n) for n in range(1, STREAM_EVENTS + 1))


def probe_path(version: int) -> str:
    """Return the path prefix of the route that a version of the configuration adds."""
    return f"/v{version}/"


def request_headers(attempt_id: str, seconds: float) -> dict[str, str]:
    """Return the headers of a request that is waited for that long."""
    return {
        "Host": HOST,
        ATTEMPT_ID: attempt_id,
        DEADLINE: str(int(seconds * MILLISECONDS)),
        "Authorization": f"Bearer {KEY}",
        **PROMPT,
    }
