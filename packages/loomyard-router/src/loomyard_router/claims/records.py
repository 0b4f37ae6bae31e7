"""Records of the claim streams; each append is a batch of them."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.claims.claim_coordinator import RecordedOutcome


@frozen(kw_only=True)
class Begun:
    """A router is about to send the request of a key.

    Wall times in seconds: ``begun_at`` by the clock of the writer, ``answer_by`` when the answer is
    due, ``keep_until`` when the key expires, ``issued_at`` as carried by the key.
    """

    claim_id: bytes
    key: bytes
    fingerprint: bytes
    owner: str
    incarnation: int
    begun_at: float
    answer_by: float
    keep_until: float
    issued_at: float | None = None


@frozen(kw_only=True)
class Finished:
    """The execution of a claim ended; its outcome is ``None`` where it is unknown."""

    claim_id: bytes
    key: bytes
    outcome: RecordedOutcome | None = None


@frozen(kw_only=True)
class Abandoned:
    """The owner sent nothing under this claim and never will."""

    claim_id: bytes
    key: bytes
    keep_until: float


@frozen(kw_only=True)
class ClaimBatch:
    """Records of one append, applied in the order of the fields."""

    abandoned: list[Abandoned] = field(factory=list)
    begun: list[Begun] = field(factory=list)
    finished: list[Finished] = field(factory=list)
