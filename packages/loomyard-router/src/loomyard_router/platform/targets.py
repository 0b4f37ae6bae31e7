"""Targets as they speak on the platform."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from loomyard_router.platform import names
from loomyard_router.routed.dialects import AnswerWord

if TYPE_CHECKING:
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.routed.routed_request import RoutedRequest


class PlatformTargets:
    """The ``TargetDialect`` of the platform."""

    def render_head(
        self, request: RoutedRequest, target: AnnouncedTarget, *, milliseconds: int, last_event: str
    ) -> bytes:
        lines = [f"{request.method} {request.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in request.head.passed]
        lines.append(f"{names.DEADLINE_MS}: {milliseconds}")
        lines.append(f"{names.EXPECTED_TARGET}: {target.id}")
        if request.account is not None:
            lines.append(f"{names.ACCOUNT}: {request.account.name}")
        if last_event:
            lines.append(f"{names.LAST_EVENT_ID}: {last_event}")
        if request.body or request.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(request.body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1")

    def render_health(self, path: str, target: AnnouncedTarget) -> bytes:
        return f"GET {path} HTTP/1.1\r\nHost: {target.address}\r\n\r\n".encode("latin-1")

    def read_health(self, status: int, headers: list[tuple[str, str]]) -> str | None:
        fields = {name.lower(): value for name, value in headers}
        named = fields.get(names.INSTANCE.lower())
        if named is None and status in (HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT):
            return ""
        return named

    def read_word(self, status: int, headers: list[tuple[str, str]]) -> AnswerWord:
        fields = {name.lower(): value for name, value in headers}
        attempt_id = fields.get(names.ATTEMPT_ID.lower(), "")
        refused = names.NOT_RUN.lower() in fields or status == HTTPStatus.MISDIRECTED_REQUEST
        success = HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES
        encoded = "content-encoding" in fields
        return AnswerWord(
            attempt_id=attempt_id,
            not_run=refused,
            vouched=not success or (names.STAMP.lower() in fields and not encoded),
        )
