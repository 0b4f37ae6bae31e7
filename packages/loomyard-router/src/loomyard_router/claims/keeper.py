"""The protocol of claims on idempotency keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault


@frozen(kw_only=True)
class ClaimKey:
    """What a claim is on: the account and the caller's key.

    ``fingerprint`` digests the request; ``issued_at`` is the caller's wall time of the key in
    seconds, where the key tells one.
    """

    account: str
    key: str
    fingerprint: bytes
    issued_at: float | None = None


@frozen(kw_only=True)
class Claim:
    """A claim on a key of which nothing was known; ``begin`` decides whether it wins."""

    key: ClaimKey
    claim_id: str


@frozen(kw_only=True)
class RecordedOutcome:
    """What an execution came to; ``body`` is ``None`` where it was too large to keep."""

    status: int
    content_type: str
    body: bytes | None


class ClaimKeeper(Protocol):
    """Let log order decide who may execute.

    The order is ``claim``, ``begin`` just before the bytes go out, then ``finish``; or
    ``abandon`` while it is certain that nothing was sent.
    """

    @property
    def ready(self) -> bool:
        """Whether this router knows enough to do its part in ordering claims."""

    def claim(self, key: ClaimKey, deadline: float) -> Result[Claim | RecordedOutcome, Fault]:
        """Claim a key, or return the outcome recorded for it; wait for one that is running.

        Errors: ``KEY_REUSED``, ``KEY_EXPIRED``, ``OUTCOME_UNKNOWN``, ``KEY_IN_PROGRESS``,
        ``CLAIM_UNAVAILABLE``.
        """

    def begin(self, claim: Claim, deadline: float) -> Result[None, Fault]:
        """Record that the request is about to be sent; on an error it must not be sent.

        Errors: ``KEY_IN_PROGRESS`` (another was first: claim again to wait for its outcome),
        ``KEY_EXPIRED``, ``CLAIM_UNAVAILABLE``, ``DEADLINE_PASSED``.
        """

    def finish(self, claim: Claim, outcome: RecordedOutcome | None) -> None:
        """Record the outcome; ``None`` where it is unknown."""

    def abandon(self, claim: Claim) -> None:
        """Give back a claim of which nothing was sent."""

    def start(self) -> None:
        """Start the tasks."""

    def stop(self) -> None:
        """End the tasks."""
