"""Messages between routers and the hosts of a claim partition."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.claims.claim_coordinator import RecordedOutcome
from loomyard_router.claims.key_state import Phase
from loomyard_router.claims.records import Abandoned, Begun, Finished
from loomyard_router.claims.verdict import Verdict
from loomyard_router.peers.message_types import peer_message


@peer_message("claim.lookup")
@frozen(kw_only=True)
class LookUp:
    """Request for the state of a key; answered by ``KeyView``."""

    key: bytes


@peer_message("claim.view")
@frozen(kw_only=True)
class KeyView:
    """State of a key at a host; ``ready`` is false where the host can't tell the state."""

    ready: bool
    phase: Phase = Phase.FREE
    fingerprint: bytes = b""
    owner: str = ""
    incarnation: int = 0
    answer_by: float = 0.0
    outcome: RecordedOutcome | None = None


@peer_message("claim.begin")
@frozen(kw_only=True)
class BeginClaim:
    """Request to append a ``Begun`` record; answered by ``BeginAnswer``."""

    begun: Begun


@peer_message("claim.begun")
@frozen(kw_only=True)
class BeginAnswer:
    """The verdict on a ``Begun`` record, or ``None`` and the reason in ``detail``."""

    verdict: Verdict | None = None
    detail: str = ""


@peer_message("claim.settle")
@frozen(kw_only=True)
class SettleClaims:
    """Request to append records of ended claims of one partition; answered by ``Settled``."""

    partition: int
    abandoned: list[Abandoned] = field(factory=list)
    finished: list[Finished] = field(factory=list)


@peer_message("claim.settled")
@frozen(kw_only=True)
class Settled:
    """Whether all records were read back from the log."""

    done: bool
