"""Calls of a router's WSGI application without a socket."""

from __future__ import annotations

import io
import json
from typing import TYPE_CHECKING, Any

from gevent import GreenletExit

from loomyard_standins.faults.fake_target import MODEL
from loomyard_standins.faults.generated import expected_text, plain_body
from loomyard_standins.faults.observations import CallRecord, Ending

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock

PLAIN = "records"
MODEL_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"
HTTP_OK = 200
RECEIPTS_PATH = f"/services/{PLAIN}/receipts"
LOOKUPS_PATH = f"/services/{PLAIN}/lookups"
TEST_HOST = "127.0.0.1"
EXECUTED = "executed"


def fake_key(account: str) -> str:
    """Return the bearer key of a client account of the fake fleet."""
    return f"key-{account}"


def make_model_call(
    marker: str,
    router: str,
    now: float,
    *,
    tokens: int = 6,
    stream: bool = True,
    model: str = MODEL,
) -> tuple[CallRecord, dict[str, Any]]:
    """Return the record of a call of the model service, and its WSGI environ."""
    body = {"model": model, "prompt": marker, "max_tokens": tokens, "stream": stream}
    record = CallRecord(
        marker=marker,
        account=marker.partition("/")[0],
        router=router,
        expected=expected_text(marker, tokens),
        started=now,
        stream=stream,
    )
    return record, make_environ(record.account, MODEL_PATH, json.dumps(body).encode())


def make_plain_call(
    marker: str, router: str, now: float, *, idempotent: bool = False, key: str | None = None
) -> tuple[CallRecord, dict[str, Any]]:
    """Return the record of a call of the plain service, and its WSGI environ."""
    record = CallRecord(
        marker=marker,
        account=marker.partition("/")[0],
        router=router,
        expected=plain_body(marker),
        started=now,
        idempotent=idempotent,
        key=key,
    )
    path = LOOKUPS_PATH if idempotent else RECEIPTS_PATH
    environ = make_environ(record.account, path, marker.encode())
    if key is not None:
        environ["HTTP_IDEMPOTENCY_KEY"] = key
    return record, environ


def make_environ(account: str, path: str, body: bytes, method: str = "POST") -> dict[str, Any]:
    """Return the WSGI environ of an HTTP request with the bearer key of an account."""
    return {
        "REQUEST_METHOD": method,
        "SCRIPT_NAME": "",
        "PATH_INFO": path,
        "QUERY_STRING": "",
        "SERVER_PROTOCOL": "HTTP/1.1",
        "SERVER_NAME": TEST_HOST,
        "SERVER_PORT": "80",
        "REMOTE_ADDR": TEST_HOST,
        "HTTP_AUTHORIZATION": f"Bearer {fake_key(account)}",
        "CONTENT_TYPE": "application/json",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
        "wsgi.errors": io.StringIO(),
        "wsgi.url_scheme": "http",
    }


def perform(
    app: Callable[..., Any], environ: dict[str, Any], record: CallRecord, clock: Clock
) -> None:
    """Call the application, read the answer to its end and complete the record."""

    def start_response(status: str, headers: list[tuple[str, str]], *_: Any) -> Any:
        record.status = int(status.split()[0])
        record.headers = {name.lower(): value for name, value in headers}
        return None

    body: Any = None
    try:
        body = app(environ, start_response)
        for data in body:
            record.body += data
        record.ending = Ending.WHOLE
    except (Exception, GreenletExit):
        # The WSGI server would close the connection without terminating the body.
        record.ending = Ending.CUT
    finally:
        record.ended = clock.now()
        _read_problem(record)
        if hasattr(body, "close"):
            body.close()


def _read_problem(record: CallRecord) -> None:
    try:
        problem = json.loads(record.body)
        details = problem["error"]["loomyard"] if "error" in problem else problem
        record.executed, record.code = details[EXECUTED], details["code"]
    except (ValueError, LookupError, TypeError):
        return
