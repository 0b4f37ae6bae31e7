"""Headers, bodies and messages that the programs of the soak share.

Each program writes messages to its standard output and reads commands from its standard input,
one JSON document or number a line.
"""

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

# Sent to the process of a router before a SIGSTOP that stands for a suspension of its VM.
SUSPEND_SIGNAL = signal.SIGUSR1
STREAM_EVENTS = 12
MILLISECONDS_PER_SECOND = 1000
HTTP_OK = 200
# Statuses that guarantee that the request was not executed and never will be.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
STAMP_HEADER = "Loomyard-Server-Stamp"
ATTEMPT_ID_HEADER = "Loomyard-Attempt-Id"
DEADLINE_HEADER = "Loomyard-Deadline-Ms"
NOT_EXECUTED_HEADER = "Loomyard-Not-Executed"
# Notices of targets: that it leaves, in all answers; seconds of back-off, in refusals.
LEAVING_HEADER = "Server-Leaving"
RETRY_AFTER_HEADER = "Retry-After"
HOST = "soak.example"
PROBE_HOST = "probe.example"
API_KEY = "soak-key"
# Size and prefix of a prompt; only routes to engines use them.
PROMPT_HEADERS = {
    "Loomyard-Model": "m",
    "Loomyard-Token-Usage": "120,24",
    "Loomyard-Prompt-Prefix": "5c1e07a2:120",
}
# Kinds of requests and the path prefixes of their routes.
NON_IDEMPOTENT, IDEMPOTENT, STREAM = "non_idempotent", "idempotent", "streaming"
PATHS = {NON_IDEMPOTENT: "/once/", IDEMPOTENT: "/again/", STREAM: "/stream/"}
# Poison requests: a target that begins to run one crashes, with all requests that it runs.
CRASHING_BODIES = {kind: f"ends targets {kind}".encode() for kind in PATHS}
# Harmless bodies that are sent again and again.
REPEATED_BODIES = [f"the same {number}".encode() for number in range(4)]


def emit(**fields: Any) -> None:
    """Write a message to standard output, with ``at`` in seconds of the monotonic clock."""
    fields["at"] = time.monotonic()
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def input_lines() -> Iterator[str]:
    """Return the lines of standard input without blocking other greenlets."""
    return iter(FileObject(sys.stdin.fileno(), "r", close=False).readline, "")


def expected_answer(attempt_id: str, body: bytes) -> bytes:
    """Return the only correct answer of a plain target to a request."""
    digest = hashlib.sha256(attempt_id.encode() + b"|" + body).hexdigest()
    return f"{attempt_id} {digest} ".encode() * 20


def stream_event(attempt_id: str, number: int) -> bytes:
    """Return an event of a stream; the first has number 1."""
    return f"id: {number}\ndata: {attempt_id} {number}\n\n".encode()


def expected_stream(attempt_id: str) -> bytes:
    """Return all events of a stream."""
    return b"".join(stream_event(attempt_id, n) for n in range(1, STREAM_EVENTS + 1))


def probe_path(version: int) -> str:
    """Return the path prefix of the route that a version of the configuration adds."""
    return f"/v{version}/"


def request_headers(attempt_id: str, deadline: float) -> dict[str, str]:
    """Return the headers of a request with a deadline in seconds."""
    return {
        "Host": HOST,
        ATTEMPT_ID_HEADER: attempt_id,
        DEADLINE_HEADER: str(int(deadline * MILLISECONDS_PER_SECOND)),
        "Authorization": f"Bearer {API_KEY}",
        **PROMPT_HEADERS,
    }
