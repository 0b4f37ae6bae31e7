"""What was decided for a request, wherever in the fleet it was served."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.pool import Pool
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.operators.messages import ExplainRequest, Explanation

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks
    from loomyard_router.requests.journal import Journal

CONCURRENCY = 32
REQUEST_SECONDS = 1.0


class Explanations:
    """Look into the journals of the routers."""

    def __init__(
        self, *, clock: Clock, journal: Journal, members: Membership, peers: PeerLinks
    ) -> None:
        self._clock = clock
        self._journal = journal
        self._members = members
        self._peers = peers
        peers.handle(ExplainRequest, lambda _, request: self._own(request.request_id))

    def explain(self, request_id: str) -> Result[list[Explanation], Fault]:
        """Return what the routers remember; a resumed request has passed more than one.

        Error: ``UNKNOWN_REQUEST``.
        """
        names = [member.name for member in self._members.live()]
        found = Pool(CONCURRENCY).map(lambda name: self._ask(name, request_id), names)
        known = [item for item in found if item is not None and item.entries]
        if not known:
            detail = f"no live router remembers {request_id!r}"
            return Err(Fault(code=ResultCode.UNKNOWN_REQUEST, detail=detail))
        return Ok(sorted(known, key=lambda item: item.entries[0].at))

    def _own(self, request_id: str) -> Explanation:
        entries = list(self._journal.explain(request_id))
        return Explanation(router=self._members.own.name, entries=entries)

    def _ask(self, name: str, request_id: str) -> Explanation | None:
        if name == self._members.own.name:
            return self._own(request_id)
        deadline = self._clock.now() + REQUEST_SECONDS
        request = ExplainRequest(request_id=request_id)
        answer = self._peers.request(name, request, deadline).unwrap_or(None)
        return answer if isinstance(answer, Explanation) else None
