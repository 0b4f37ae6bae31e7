"""Read and validate the header fields and bodies of callers' requests."""

from __future__ import annotations

import json
import math
import re
from datetime import datetime
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode

if TYPE_CHECKING:
    from loomyard.clock import Clock

    Environ = dict[str, Any]

MAX_BODY = 8 * 1024 * 1024
READ_SIZE = 65536
DEFAULT_TIMEOUT = 300.0
MAX_TIMEOUT = 24 * 3600.0
MAX_COST_HINT = 1e9
MAX_KEY_LENGTH = 255
# Python refuses to convert much longer numbers.
MAX_LENGTH_DIGITS = 18
DEADLINE_HEADER = "HTTP_LOOMYARD_DEADLINE"
COST_HEADER = "HTTP_LOOMYARD_COST_HINT"
IDEMPOTENT_HEADER = "HTTP_LOOMYARD_IDEMPOTENT"
KEY_HEADER = "HTTP_IDEMPOTENCY_KEY"
_QUOTED_KEY = re.compile(r'"((?:[\x20-\x21\x23-\x5b\x5d-\x7e]|\\["\\])+)"\Z')
_TOKEN_KEY = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z:/=@-]+\Z")


def read_body(environ: Environ) -> Result[bytes, Fault]:
    """Read a body of at most ``MAX_BODY`` bytes, with a Content-Length or chunked.

    Errors: ``BODY_TOO_LARGE``, ``MALFORMED_REQUEST``.
    """
    length = environ.get("CONTENT_LENGTH") or "0"
    if not (length.isascii() and length.isdigit()):
        return Err(malformed("the content length is not a whole number"))
    if len(length) > MAX_LENGTH_DIGITS or int(length) > MAX_BODY:
        return Err(_too_large())
    blocks: list[bytes] = []
    size = 0
    try:
        while block := environ["wsgi.input"].read(READ_SIZE):
            blocks.append(block)
            size += len(block)
            if size > MAX_BODY:
                return Err(_too_large())
    except OSError as error:
        return Err(malformed(f"the body is incomplete: {error}"))
    return Ok(b"".join(blocks))


def read_document(body: bytes) -> Result[dict[str, Any], Fault]:
    """Decode a body as a JSON object. Errors: ``MALFORMED_REQUEST``."""
    try:
        document = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        return Err(malformed(f"the body is not JSON: {str(error) or 'nested too deeply'}"))
    if not isinstance(document, dict):
        return Err(malformed("the body is not a JSON object"))
    return Ok(document)


def read_deadline(environ: Environ, clock: Clock) -> Result[float, Fault]:
    """Return the deadline on the monotonic clock.

    Errors: ``MALFORMED_REQUEST``, ``DEADLINE_PASSED``.
    """
    text = environ.get(DEADLINE_HEADER)
    if text is None:
        return Ok(clock.now() + DEFAULT_TIMEOUT)
    at = _epoch_seconds(text.strip())
    if at is None:
        detail = "Loomyard-Deadline is neither seconds since the Unix epoch nor an RFC 3339 time"
        return Err(malformed(detail))
    left = at - clock.wall()
    if left <= 0:
        return Err(Fault(code=ResultCode.DEADLINE_PASSED, detail="the deadline has passed"))
    return Ok(clock.now() + min(left, MAX_TIMEOUT))


def read_cost_hint(environ: Environ) -> Result[float | None, Fault]:
    """Return the cost hint in units of the service. Errors: ``MALFORMED_REQUEST``."""
    text = environ.get(COST_HEADER)
    if text is None:
        return Ok(None)
    try:
        hint = float(text)
    except ValueError:
        hint = math.nan
    if not 0.0 < hint <= MAX_COST_HINT:
        return Err(malformed("Loomyard-Cost-Hint is not a positive number"))
    return Ok(hint)


def read_idempotent(environ: Environ) -> Result[bool, Fault]:
    """Return whether the caller declares the request idempotent. Errors: ``MALFORMED_REQUEST``."""
    text = environ.get(IDEMPOTENT_HEADER, "yes").strip().lower()
    if text not in ("yes", "no"):
        return Err(malformed("Loomyard-Idempotent is neither yes nor no"))
    return Ok(text == "yes")


def read_key(environ: Environ) -> Result[str | None, Fault]:
    """Return the idempotency key, sent as a quoted string or token. Errors: ``MALFORMED_REQUEST``.

    A quoted string is returned without its quotes and escapes.
    """
    text = environ.get(KEY_HEADER)
    if text is None:
        return Ok(None)
    text = text.strip()
    quoted = _QUOTED_KEY.match(text)
    key = re.sub(r"\\(.)", r"\1", quoted[1]) if quoted else text
    if len(key) > MAX_KEY_LENGTH or not (quoted or _TOKEN_KEY.match(text)):
        detail = f"Idempotency-Key is not a string or token of 1 to {MAX_KEY_LENGTH} characters"
        return Err(malformed(detail))
    return Ok(key)


def malformed(detail: str) -> Fault:
    """Make the ``MALFORMED_REQUEST`` fault."""
    return Fault(code=ResultCode.MALFORMED_REQUEST, detail=detail)


def _epoch_seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return _parse_time(text)
    return seconds if math.isfinite(seconds) else None


def _parse_time(text: str) -> float | None:
    try:
        time = datetime.fromisoformat(text)
        return None if time.tzinfo is None else time.timestamp()
    except (ValueError, OverflowError):
        return None


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _too_large() -> Fault:
    detail = f"the body is longer than {MAX_BODY} bytes"
    return Fault(code=ResultCode.BODY_TOO_LARGE, detail=detail)
