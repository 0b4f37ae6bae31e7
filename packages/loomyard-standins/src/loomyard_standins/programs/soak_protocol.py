"""Headers, bodies and messages that the programs of the soak share.

Each program writes messages to its standard output and reads commands from its standard input,
one JSON document or number a line.
"""

from __future__ import annotations

import hashlib
import json
import re
import signal
import sys
import time
from typing import TYPE_CHECKING, Any

from attrs import frozen
from gevent.fileobject import FileObject

if TYPE_CHECKING:
    from collections.abc import Iterator

# Sent to the process of a router before a SIGSTOP that stands for a suspension of its VM.
SUSPEND_SIGNAL = signal.SIGUSR1
STREAM_EVENTS = 12
_DATA_FIELD = re.compile(rb"^data: (\S+) (\d+) (\S*)$", re.MULTILINE)
_ID_FIELD = re.compile(rb"^id: (\d+)$", re.MULTILINE)
# Orders of the lines of events; the fields of an event may come in any.
_EVENT_LINES = ("{id}|{data}", "{data}|{id}", "event: token|{data}|{id}", ": alive|{data}|{id}|:")
MILLISECONDS_PER_SECOND = 1000
HTTP_OK = 200
# Statuses that guarantee that the request was not executed and never will be.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
STAMP_HEADER = "Loomyard-Server-Stamp"
ATTEMPT_ID_HEADER = "Loomyard-Attempt-Id"
# A caller that takes a stream up names its last event and the attempt that brought the first.
LAST_EVENT_HEADER, RESUMES_HEADER = "Last-Event-Id", "Resumes"
DEADLINE_HEADER = "Loomyard-Deadline-Ms"
NOT_EXECUTED_HEADER = "Loomyard-Not-Executed"
# Notices of targets: that it leaves, in all answers; seconds of back-off, in refusals.
LEAVING_HEADER = "Server-Leaving"
RETRY_AFTER_HEADER = "Retry-After"
HOST = "soak.example"
PROBE_HOST = "probe.example"
API_KEY = "soak-key"
PROMPT_HEADER = "Loomyard-Prompt-Prefix"
# Model and size of a prompt, and its first part, which all prompts share.
MODEL_HEADERS = {"Loomyard-Model": "m", "Loomyard-Token-Usage": "120,24"}
SHARED_PART = "5c1e07a2"
# An engine crashes when it begins an answer on a prompt that holds this part before its last.
CRASHING_PART = "badc0de5"
CRASHING_PART_KIND = "part"
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


def stream_event(attempt_id: str, number: int, software_version: str) -> bytes:
    """Return an event of a stream as a version writes it; the first has number 1."""
    lines = _EVENT_LINES[number % len(_EVENT_LINES)].format(
        id=f"id: {number}", data=f"data: {attempt_id} {number} {software_version}"
    )
    line_end = "\r\n" if sum(attempt_id.encode()) % 2 else "\n"
    return (lines + "||").replace("|", line_end).encode()


@frozen
class ReceivedStream:
    """What a caller got of one attempt: the last event, the versions, and whether all is its own.

    ``versions`` is a list without duplicates.
    """

    last: int
    versions: list[str]
    is_own: bool

    @property
    def is_whole(self) -> bool:
        """Return whether the last event of the stream has come."""
        return self.last == STREAM_EVENTS


def read_stream(attempt_id: str, after: int, received: bytes) -> ReceivedStream:
    """Read the events that came after a number; an incomplete one at the end is left out."""
    last, versions, is_own = after, [], True
    for event in received.replace(b"\r\n", b"\n").split(b"\n\n")[:-1]:
        ids, data = _ID_FIELD.findall(event), _DATA_FIELD.findall(event)
        expected = (b"%d" % (last + 1), attempt_id.encode(), b"%d" % (last + 1))
        if len(ids) != 1 or len(data) != 1 or (ids[0], *data[0][:2]) != expected:
            is_own = False
            break
        last += 1
        versions.append(data[0][2].decode())
    return ReceivedStream(last, sorted(set(versions)), is_own)


def probe_path(version: int) -> str:
    """Return the path prefix of the route that a version of the configuration adds."""
    return f"/v{version}/"


def request_headers(attempt_id: str, deadline: float, middle: str = "") -> dict[str, str]:
    """Return the headers of a request with a deadline in seconds; ``middle`` is a part's id.

    The last part of the prompt is the request's own.
    """
    own = hashlib.sha256(attempt_id.encode()).hexdigest()[:8]
    prompt = [f"{SHARED_PART}:80", *([f"{middle}:30"] if middle else []), f"{own}:10"]
    return {
        "Host": HOST,
        ATTEMPT_ID_HEADER: attempt_id,
        DEADLINE_HEADER: str(int(deadline * MILLISECONDS_PER_SECOND)),
        "Authorization": f"Bearer {API_KEY}",
        **MODEL_HEADERS,
        PROMPT_HEADER: ",".join(prompt),
    }
