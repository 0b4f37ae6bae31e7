"""Messages between routers on behalf of operators."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.peers.message_types import peer_message
from loomyard_router.requests.journal import JournalEntry


@peer_message("ExplainRequest")
@frozen(kw_only=True)
class ExplainRequest:
    """Request for the journal of a request; answered by ``Explanation``."""

    request_id: str


@peer_message("Explanation")
@frozen(kw_only=True)
class Explanation:
    """Journal entries of a request at one router."""

    router: str
    entries: list[JournalEntry] = field(factory=list)


@peer_message("DrainRequest")
@frozen(kw_only=True)
class DrainRequest:
    """Request for the planned stop of one incarnation of a router; answered by ``DrainAnswer``."""

    incarnation: int


@peer_message("DrainAnswer")
@frozen(kw_only=True)
class DrainAnswer:
    """Whether the planned stop was started, else the reason in ``detail``."""

    accepted: bool
    detail: str = ""
