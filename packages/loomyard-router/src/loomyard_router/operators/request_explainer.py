"""Lookup of a request's journal entries on all routers."""

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


class RequestExplainer:
    """Collects journal entries from all live routers, and answers for this one."""

    def __init__(
        self, *, clock: Clock, journal: Journal, members: Membership, peers: PeerLinks
    ) -> None:
        self._clock = clock
        self._journal = journal
        self._members = members
        self._peers = peers
        peers.handle(ExplainRequest, lambda _, request: self._explain_locally(request.request_id))

    def explain(self, request_id: str) -> Result[list[Explanation], Fault]:
        """Return the journals of a request by router, by time of their first entries.

        A resumed request was served by several routers. Error: ``UNKNOWN_REQUEST``.
        """
        names = [member.name for member in self._members.live()]
        found = Pool(CONCURRENCY).map(lambda name: self._request(name, request_id), names)
        known = [item for item in found if item is not None and item.entries]
        if not known:
            detail = f"no live router has journal entries of {request_id!r}"
            return Err(Fault(code=ResultCode.UNKNOWN_REQUEST, detail=detail))
        return Ok(sorted(known, key=lambda item: item.entries[0].at))

    def _explain_locally(self, request_id: str) -> Explanation:
        entries = list(self._journal.explain(request_id))
        return Explanation(router=self._members.own.name, entries=entries)

    def _request(self, name: str, request_id: str) -> Explanation | None:
        if name == self._members.own.name:
            return self._explain_locally(request_id)
        deadline = self._clock.now() + REQUEST_SECONDS
        request = ExplainRequest(request_id=request_id)
        answer = self._peers.request(name, request, deadline).unwrap_or(None)
        return answer if isinstance(answer, Explanation) else None
