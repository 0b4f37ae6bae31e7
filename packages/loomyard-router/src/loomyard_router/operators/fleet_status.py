"""Status of the routers of the fleet, requested over peer links."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from gevent.pool import Pool

from loomyard.configuration import format_digest
from loomyard_router.configuration.messages import RouterStatus, StatusRequest
from loomyard_router.operators.documents import RouterIssue

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks

CONCURRENCY = 32
REQUEST_SECONDS = 1.0
POLL_SECONDS = 0.1
_WITHOUT_MEMBERS = StatusRequest()


@frozen
class Propagation:
    """The routers that have applied a log offset, and those that have not or do not answer."""

    in_force: list[str]
    lagging: list[RouterIssue]


class FleetStatus:
    """Requests the status of other routers, and answers for this one."""

    def __init__(
        self,
        *,
        clock: Clock,
        follower: ConfigFollower,
        members: Membership,
        peers: PeerLinks,
        stopping: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._follower = follower
        self._members = members
        self._peers = peers
        self._is_stopping = stopping
        peers.handle(StatusRequest, lambda _, request: self.own(members=request.members))

    def own(self, *, members: bool = True) -> RouterStatus:
        """Return the status of this router, with the names of live members if ``members``."""
        follower, member = self._follower, self._members.own
        state = follower.state
        return RouterStatus(
            name=member.name,
            incarnation=member.incarnation,
            data_centre=member.data_centre,
            version=state.version,
            applied=state.applied,
            digest=format_digest(state.digest),
            ready=follower.ready,
            stopping=self._is_stopping(),
            log_reachable=follower.log_reachable,
            behind=follower.missing_records,
            members=[other.name for other in self._members.live()] if members else [],
        )

    def collect(self) -> tuple[list[RouterStatus], list[RouterIssue]]:
        """Return the status of each live router, and the routers that did not answer."""
        names = [member.name for member in self._members.live()]
        found = dict(
            zip(names, Pool(CONCURRENCY).map(self._request_with_members, names), strict=True)
        )
        known = [status for status in found.values() if status is not None]
        unresponsive = [n for n, status in found.items() if status is None]
        return known, [RouterIssue(name=name, detail="does not answer") for name in unresponsive]

    def await_in_force(self, offset: int, deadline: float) -> Propagation:
        """Poll until every live router has applied a log offset, or until the deadline."""
        in_force: set[str] = set()
        while True:
            names = {member.name for member in self._members.live()}
            waiting = sorted(names - in_force)
            found = Pool(CONCURRENCY).map(self._request, waiting)
            lagging = []
            for name, status in zip(waiting, found, strict=True):
                if status is not None and status.applied >= offset:
                    in_force.add(name)
                else:
                    lagging.append(RouterIssue(name=name, detail=_describe(status)))
            if not lagging or self._clock.now() + POLL_SECONDS > deadline:
                return Propagation(sorted(in_force & names), lagging)
            self._clock.sleep(POLL_SECONDS)

    def _request_with_members(self, name: str) -> RouterStatus | None:
        return self._request(name, StatusRequest(members=True))

    def _request(self, name: str, request: StatusRequest = _WITHOUT_MEMBERS) -> RouterStatus | None:
        if name == self._members.own.name:
            return self.own(members=request.members)
        deadline = self._clock.now() + REQUEST_SECONDS
        answer = self._peers.request(name, request, deadline).unwrap_or(None)
        return answer if isinstance(answer, RouterStatus) else None


def _describe(status: RouterStatus | None) -> str:
    if status is None:
        return "does not answer"
    log_issue = "" if status.log_reachable else ", cannot reach the log service"
    return f"has applied offset {status.applied}{log_issue}"
