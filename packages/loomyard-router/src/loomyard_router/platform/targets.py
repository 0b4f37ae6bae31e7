"""The codec of requests to targets of the platform and of the heads of their answers."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from loomyard.util.seconds import parse_seconds
from loomyard_router.announced.target_notice import NO_NOTICE, TargetNotice
from loomyard_router.platform import names
from loomyard_router.routed.http_codecs import AnswerHead, HealthAnswer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.routed.routed_request import RoutedRequest


class PlatformTargets:
    """The ``TargetCodec`` of the platform."""

    def encode_request_head(
        self, request: RoutedRequest, target: AnnouncedTarget, *, milliseconds: int, last_event: str
    ) -> bytes:
        lines = [f"{request.method} {request.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in request.head.forwarded_headers]
        lines.append(f"{names.DEADLINE_MS}: {milliseconds}")
        lines.append(f"{names.EXPECTED_TARGET}: {target.id}")
        if request.account is not None:
            lines.append(f"{names.ACCOUNT}: {request.account.name}")
        if last_event:
            lines.append(f"{names.LAST_EVENT_ID}: {last_event}")
        if request.body or request.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(request.body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1")

    def encode_health_check(self, path: str, target: AnnouncedTarget) -> bytes:
        return f"GET {path} HTTP/1.1\r\nHost: {target.address}\r\n\r\n".encode("latin-1")

    def decode_health_answer(self, status: int, headers: list[tuple[str, str]]) -> HealthAnswer:
        fields = {name.lower(): value for name, value in headers}
        instance_id = fields.get(names.INSTANCE.lower())
        if instance_id is None and status in (HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT):
            # The error of a proxy in front of the target.
            instance_id = ""
        return HealthAnswer(instance_id=instance_id, notice=_read_notice(status, fields))

    def decode_answer_head(self, status: int, headers: list[tuple[str, str]]) -> AnswerHead:
        fields = {name.lower(): value for name, value in headers}
        attempt_id = fields.get(names.ATTEMPT_ID.lower(), "")
        stamps = int(names.STAMP.lower() in fields)
        if len(fields) < len(headers):
            # Callers may read another value of a repeated field than the last one.
            attempt_id = ", ".join(sorted(set(_read_values(names.ATTEMPT_ID, headers))))
            stamps = len(_read_values(names.STAMP, headers))
        refused = names.NOT_EXECUTED.lower() in fields or status == HTTPStatus.MISDIRECTED_REQUEST
        success = HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES
        encoded = "content-encoding" in fields
        return AnswerHead(
            attempt_id=attempt_id,
            not_executed=refused,
            authentic=(stamps == 1 and not encoded) if success else stamps <= 1,
            notice=_read_notice(status, fields),
        )


def _read_values(name: str, headers: list[tuple[str, str]]) -> list[str]:
    """Return the values of the fields with a name."""
    return [value for field, value in headers if field.lower() == name.lower()]


def _read_notice(status: int, fields: Mapping[str, str]) -> TargetNotice:
    """Read the notice of the target that was addressed: whether it leaves or wants a back-off."""
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        # Another target has taken over the address, and its notice is about itself.
        return NO_NOTICE
    leaving = fields.get(names.LEAVING.lower(), "").strip() == names.LEAVING_VALUE
    refused = status == HTTPStatus.SERVICE_UNAVAILABLE
    delay = parse_seconds(fields.get(names.RETRY_AFTER.lower(), "")) if refused else 0.0
    return TargetNotice(leaving=leaving, backoff_seconds=delay) if leaving or delay else NO_NOTICE
