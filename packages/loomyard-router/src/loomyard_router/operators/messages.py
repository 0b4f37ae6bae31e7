"""Messages between routers that answer operators."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.peers.message_types import peer_message
from loomyard_router.requests.journal import JournalEntry


@peer_message("ExplainRequest")
@frozen(kw_only=True)
class ExplainRequest:
    """Ask for the journal of a request; answered by ``Explanation``."""

    request_id: str


@peer_message("Explanation")
@frozen(kw_only=True)
class Explanation:
    """What a router remembers of a request."""

    router: str
    entries: list[JournalEntry] = field(factory=list)


@peer_message("DrainRequest")
@frozen(kw_only=True)
class DrainRequest:
    """Ask a router for a planned stop; answered by ``DrainAnswer``."""

    incarnation: int


@peer_message("DrainAnswer")
@frozen(kw_only=True)
class DrainAnswer:
    """Whether the planned stop began."""

    accepted: bool
    detail: str = ""
