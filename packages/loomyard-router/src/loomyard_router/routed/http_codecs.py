"""What an adapter must do to speak with callers and targets in their own way."""

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
    """What the bytes of a head tell; a request that is ``prompted`` is meant for an engine."""

    attempt_id: str
    key: str
    has_prompt: bool


class CallerCodec(Protocol):
    """Read heads of callers and word refusals."""

    @property
    def id_header(self) -> str:
        """Return the header that names a request, for logs."""

    def decode_request_head(
        self, headers: list[tuple[str, str]], now: float
    ) -> Result[RequestHead, Fault]:
        """Decode the headers of a request. Errors: ``MALFORMED_REQUEST``."""

    def preview_head(self, head: bytes) -> HeadPreview:
        """Find in a head what decides whether it is worth decoding."""

    def encode_refusal(self, fault: Fault) -> tuple[int, list[tuple[str, str]]]:
        """Return status and headers of a final answer that is no target's."""


@frozen(kw_only=True)
class AnswerHead:
    """What a target's head says: for which attempt it is, that it ran nothing, and of itself.

    ``vouched`` is false for a success that lacks the mark by which callers know a target's answer.
    """

    attempt_id: str
    not_executed: bool
    authentic: bool = True
    notice: TargetNotice = NO_NOTICE


@frozen(kw_only=True)
class HealthAnswer:
    """What the answer to a question for health says: who lives there, and of itself.

    ``lives`` is empty for an error of what stands in front, ``None`` where it tells nothing.
    """

    instance_id: str | None
    notice: TargetNotice = NO_NOTICE


class TargetCodec(Protocol):
    """Word requests to targets and read the heads of their answers."""

    def encode_request_head(
        self, request: RoutedRequest, target: AnnouncedTarget, *, milliseconds: int, last_event: str
    ) -> bytes:
        """Return the head with its empty line; ``milliseconds`` is what the target may take."""

    def decode_answer_head(self, status: int, headers: list[tuple[str, str]]) -> AnswerHead:
        """Read what the head of an answer says."""

    def encode_health_check(self, path: str, target: AnnouncedTarget) -> bytes:
        """Return the head of a question who lives at a target's address."""

    def decode_health_answer(self, status: int, headers: list[tuple[str, str]]) -> HealthAnswer:
        """Read what the head of the answer to that question says."""
