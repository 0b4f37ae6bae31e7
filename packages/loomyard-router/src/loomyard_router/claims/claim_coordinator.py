"""Protocol of claims on idempotency keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault


@frozen(kw_only=True)
class ClaimKey:
    """An account and the idempotency key that a caller sent.

    ``fingerprint`` is a digest of the request; ``issued_at`` is the wall time in seconds that the
    key carries, if any.
    """

    account: str
    key: str
    fingerprint: bytes
    issued_at: float | None = None


@frozen(kw_only=True)
class Claim:
    """A claim on a key that was free; ``begin`` decides whether the claim wins."""

    key: ClaimKey
    claim_id: str


@frozen(kw_only=True)
class RecordedOutcome:
    """The answer of an execution; ``body`` is ``None`` where it was too large to record."""

    status: int
    content_type: str
    body: bytes | None


class ClaimCoordinator(Protocol):
    """Ensures that the request of a key is sent at most once in the fleet.

    Callers call ``claim``, then ``begin`` just before they send the request, then ``finish``; or
    ``abandon`` while it is certain that nothing was sent.
    """

    @property
    def ready(self) -> bool:
        """Whether this router has read the claims that it hosts."""

    def claim(self, key: ClaimKey, deadline: float) -> Result[Claim | RecordedOutcome, Fault]:
        """Claim a key, or return its recorded outcome; wait while its request is running.

        Errors: ``KEY_REUSED``, ``KEY_EXPIRED``, ``OUTCOME_UNKNOWN``, ``KEY_IN_PROGRESS``,
        ``CLAIM_UNAVAILABLE``.
        """

    def begin(self, claim: Claim, deadline: float) -> Result[None, Fault]:
        """Record that the request is about to be sent; on an error it must not be sent.

        Errors: ``KEY_IN_PROGRESS`` (another claim was first: claim again to await its outcome),
        ``KEY_EXPIRED``, ``CLAIM_UNAVAILABLE``, ``DEADLINE_PASSED``.
        """

    def finish(self, claim: Claim, outcome: RecordedOutcome | None) -> None:
        """Record the outcome; ``None`` where it is unknown."""

    def abandon(self, claim: Claim) -> None:
        """Release a claim under which nothing was sent."""

    def start(self) -> None:
        """Start the tasks."""

    def stop(self) -> None:
        """End the tasks."""
