"""State of an idempotency key."""

from __future__ import annotations

from enum import Enum

from attrs import define

from loomyard_router.claims.claim_coordinator import RecordedOutcome


class Phase(Enum):
    """Progress of the execution of a key."""

    FREE = "free"
    BEGUN = "begun"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@define(kw_only=True, eq=False)
class KeyState:
    """The claim that owns a key, and its outcome; wall times in seconds as in ``Begun``."""

    claim_id: bytes
    fingerprint: bytes
    owner: str
    incarnation: int
    answer_by: float
    keep_until: float
    phase: Phase = Phase.BEGUN
    outcome: RecordedOutcome | None = None
