"""The codec of requests from callers of the platform and of refusals to them."""

from __future__ import annotations

import math
import re
from http import HTTPStatus
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard_router.callers.problems import status_of
from loomyard_router.platform import names
from loomyard_router.routed.http_codecs import HeadPreview
from loomyard_router.routed.request_head import PromptPart, RequestHead

if TYPE_CHECKING:
    from collections.abc import Mapping

MILLISECONDS = 1000.0
DEFAULT_DEADLINE_SECONDS = 30.0
# Faults of the request itself, which never reached a target, keep their own status codes.
CALLER_CODES = frozenset(
    [
        ResultCode.MALFORMED_REQUEST,
        ResultCode.BODY_TOO_LARGE,
        ResultCode.UNKNOWN_KEY,
        ResultCode.UNKNOWN_PATH,
    ]
)
# Hop-by-hop headers, and headers that the router writes itself or that end at it.
NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect",
        names.AUTHORIZATION,
        names.LAST_EVENT_ID,
    )
)
# The platform headers that callers may set for a target; forwarded unchanged, even if a
# ``Connection`` header names them. All other platform headers, known or not, are instructions to a
# target (reserve a slot, pin a prompt, use another target's memory) that only a router may give.
FORWARDED_PLATFORM_HEADERS = frozenset(
    name.lower()
    for name in (
        names.ATTEMPT_ID,
        names.MODEL,
        names.TOKEN_USAGE,
        names.PROMPT_PARTS,
        names.LENGTH_HINT,
    )
)


def _header_pattern(name: str, value: str) -> re.Pattern[bytes]:
    return re.compile(rf"\r\n{name}:[ \t]*{value}".encode(), re.IGNORECASE)


ID_PATTERN = _header_pattern(names.ATTEMPT_ID, r"([^ \t\r]+)")
KEY_PATTERN = _header_pattern(names.AUTHORIZATION, rf"{names.KEY_SCHEME.strip()}[ \t]+([^ \t\r]+)")
PROMPT_PATTERN = _header_pattern(names.PROMPT_PARTS, "")


class PlatformCallers:
    """The ``CallerCodec`` of the platform."""

    id_header = names.ATTEMPT_ID

    def decode_request_head(
        self, headers: list[tuple[str, str]], now: float
    ) -> Result[RequestHead, Fault]:
        fields = {name.lower(): value.strip() for name, value in headers}
        attempt_id = fields.get(names.ATTEMPT_ID.lower(), "")
        if not attempt_id:
            return Err(_malformed("the request has no id"))
        try:
            return Ok(self._decode(attempt_id, fields, headers, now))
        except (ValueError, OverflowError) as error:
            return Err(_malformed(f"unreadable header: {error}"))

    def preview_head(self, head: bytes) -> HeadPreview:
        attempt_id, key = ID_PATTERN.search(head), KEY_PATTERN.search(head)
        return HeadPreview(
            attempt_id=attempt_id[1].decode("latin-1") if attempt_id else "",
            key=key[1].decode("latin-1") if key else "",
            has_prompt=PROMPT_PATTERN.search(head) is not None,
        )

    def encode_refusal(self, fault: Fault) -> tuple[int, list[tuple[str, str]]]:
        if fault.executed is not Executed.NO:
            late = fault.code is ResultCode.ANSWER_LATE
            return (HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY), []
        if fault.code in CALLER_CODES:
            return status_of(fault.code), []
        headers = []
        if fault.retry_after is not None:
            headers.append((names.RETRY_AFTER, f"{fault.retry_after:.2f}"))
        return HTTPStatus.SERVICE_UNAVAILABLE, headers

    def _decode(
        self,
        attempt_id: str,
        fields: Mapping[str, str],
        headers: list[tuple[str, str]],
        now: float,
    ) -> RequestHead:
        milliseconds = fields.get(names.DEADLINE_MS.lower())
        seconds = (
            DEFAULT_DEADLINE_SECONDS if milliseconds is None else float(milliseconds) / MILLISECONDS
        )
        if not math.isfinite(seconds):
            raise ValueError(f"a deadline of {milliseconds} ms")
        prompt_tokens, _, max_output = fields.get(names.TOKEN_USAGE.lower(), "").partition(",")
        hint = fields.get(names.LENGTH_HINT.lower())
        hop_by_hop = _named_by_connection(headers)
        return RequestHead(
            attempt_id=attempt_id,
            deadline=now + seconds,
            key=_key(fields.get(names.AUTHORIZATION.lower(), "")),
            model=fields.get(names.MODEL.lower(), ""),
            forwarded_headers=[
                (name, value) for name, value in headers if _is_forwarded(name.lower(), hop_by_hop)
            ],
            prompt=_prompt_parts(fields.get(names.PROMPT_PARTS.lower(), "")),
            prompt_tokens=int(prompt_tokens or 0),
            max_output_tokens=int(max_output or 0),
            output_hint=None if hint is None else int(float(hint)),
            last_event_id=fields.get(names.LAST_EVENT_ID.lower(), ""),
            resumed_attempt_id=fields.get(names.RESUMED_ATTEMPT.lower(), ""),
        )


def _key(value: str) -> str:
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == names.KEY_SCHEME.strip().lower() else ""


def _prompt_parts(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for text in filter(None, (part.strip() for part in value.split(","))):
        part_id, _, tokens = text.partition(":")
        parts.append(PromptPart(part_id, int(tokens or 0)))
    return tuple(parts)


def _named_by_connection(headers: list[tuple[str, str]]) -> frozenset[str]:
    """Return the lower-case header names listed in all ``Connection`` headers together."""
    values = [value for name, value in headers if name.lower() == "connection"]
    return frozenset(name.strip().lower() for name in ",".join(values).split(","))


def _is_forwarded(name: str, named_by_connection: frozenset[str]) -> bool:
    if name.startswith(names.PLATFORM_PREFIXES):
        return name in FORWARDED_PLATFORM_HEADERS
    return name not in NOT_FORWARDED and name not in named_by_connection


def _malformed(detail: str) -> Fault:
    return Fault(code=ResultCode.MALFORMED_REQUEST, detail=detail)
