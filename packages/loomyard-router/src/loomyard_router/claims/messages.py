"""What routers ask the hosts of a claim partition."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.claims.keeper import RecordedOutcome
from loomyard_router.claims.key_state import Phase
from loomyard_router.claims.records import Abandoned, Begun, Finished
from loomyard_router.claims.verdict import Verdict
from loomyard_router.peers.message_types import peer_message


@peer_message("claim.lookup")
@frozen(kw_only=True)
class LookUp:
    """Ask what is known of a key; answered by ``KeyView``."""

    key: bytes


@peer_message("claim.view")
@frozen(kw_only=True)
class KeyView:
    """What a host knows of a key; ``ready`` is false where it knows too little to answer."""

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
    """Ask to append a ``Begun`` record; answered by ``BeginAnswer``."""

    begun: Begun


@peer_message("claim.begun")
@frozen(kw_only=True)
class BeginAnswer:
    """The verdict; ``None`` where there is none, and then ``detail`` says why."""

    verdict: Verdict | None = None
    detail: str = ""


@peer_message("claim.settle")
@frozen(kw_only=True)
class SettleClaims:
    """Ask to append how claims of one partition ended; answered by ``Settled``."""

    partition: int
    abandoned: list[Abandoned] = field(factory=list)
    finished: list[Finished] = field(factory=list)


@peer_message("claim.settled")
@frozen(kw_only=True)
class Settled:
    """Whether all records were read back from the log."""

    done: bool
