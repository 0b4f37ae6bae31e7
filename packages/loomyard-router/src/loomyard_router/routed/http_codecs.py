"""Protocols of the codecs by which a platform adapter decodes and encodes HTTP heads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from loomyard_router.announced.target_notice import NO_NOTICE, TargetNotice

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.routed.request_head import RequestHead
    from loomyard_router.routed.routed_request import RoutedRequest


@frozen(kw_only=True)
class HeadPreview:
    """Fields of a head that was not decoded; only requests to engines have a prompt."""

    attempt_id: str
    key: str
    has_prompt: bool


class CallerCodec(Protocol):
    """Decode the heads of callers' requests and encode refusals."""

    @property
    def id_header(self) -> str:
        """Return the name of the header with the request id, for logs."""

    def decode_request_head(
        self, headers: list[tuple[str, str]], now: float
    ) -> Result[RequestHead, Fault]:
        """Decode the headers of a request. Errors: ``MALFORMED_REQUEST``."""

    def preview_head(self, head: bytes) -> HeadPreview:
        """Search a head for the fields on which an early refusal depends, without decoding it."""

    def encode_refusal(self, fault: Fault) -> tuple[int, list[tuple[str, str]]]:
        """Return status and headers of an answer that the router itself gives."""


@frozen(kw_only=True)
class AnswerHead:
    """Decoded head of a target's answer to an attempt.

    ``not_executed`` tells that the target ran nothing; ``authentic`` is false for a success without
    the stamp by which callers recognize a target's answer, and for any answer with several stamps.
    """

    attempt_id: str
    not_executed: bool
    authentic: bool = True
    notice: TargetNotice = NO_NOTICE


@frozen(kw_only=True)
class HealthAnswer:
    """Decoded head of the answer to a health check.

    ``instance_id`` is the id of the target that runs at the address, empty for an error of a proxy
    in front of it, ``None`` where the answer names none.
    """

    instance_id: str | None
    notice: TargetNotice = NO_NOTICE


class TargetCodec(Protocol):
    """Encode the heads of requests to targets and decode those of their answers."""

    def encode_request_head(
        self, request: RoutedRequest, target: AnnouncedTarget, *, milliseconds: int, last_event: str
    ) -> bytes:
        """Return the head with its empty line; ``milliseconds`` is the time the target has left."""

    def decode_answer_head(self, status: int, headers: list[tuple[str, str]]) -> AnswerHead:
        """Decode the head of an answer to an attempt."""

    def encode_health_check(self, path: str, target: AnnouncedTarget) -> bytes:
        """Return the head of a health check, which asks which target runs at an address."""

    def decode_health_answer(self, status: int, headers: list[tuple[str, str]]) -> HealthAnswer:
        """Decode the head of the answer to a health check."""
