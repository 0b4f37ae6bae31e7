"""How the routers of the fleet are, asked over the links between them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from gevent.pool import Pool

from loomyard.configuration import format_digest
from loomyard_router.configuration.messages import RouterStatus, StatusRequest
from loomyard_router.operators.documents import Laggard

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks

CONCURRENCY = 32
REQUEST_SECONDS = 1.0
REPEAT_SECONDS = 0.1
_BRIEF = StatusRequest()


@frozen
class Spread:
    """Where a log offset is in force."""

    in_force: list[str]
    lagging: list[Laggard]


class FleetStatus:
    """Answer for this router, and ask the others."""

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
        self._stopping = stopping
        peers.handle(StatusRequest, lambda _, request: self.own(members=request.members))

    def own(self, *, members: bool = True) -> RouterStatus:
        """Return how this router is, with the names of the members if asked."""
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
            stopping=self._stopping(),
            log_reachable=follower.log_reachable,
            behind=follower.missing_records,
            members=[other.name for other in self._members.live()] if members else [],
        )

    def collect(self) -> tuple[list[RouterStatus], list[Laggard]]:
        """Return how each router is, and who did not answer."""
        names = [member.name for member in self._members.live()]
        found = dict(zip(names, Pool(CONCURRENCY).map(self._ask_all, names), strict=True))
        known = [status for status in found.values() if status is not None]
        silent = [n for n, status in found.items() if status is None]
        return known, [Laggard(name=name, detail="does not answer") for name in silent]

    def await_in_force(self, offset: int, deadline: float) -> Spread:
        """Ask until every live router has applied a log offset or the deadline has passed."""
        in_force: set[str] = set()
        while True:
            names = {member.name for member in self._members.live()}
            waiting = sorted(names - in_force)
            found = Pool(CONCURRENCY).map(self._ask, waiting)
            lagging = []
            for name, status in zip(waiting, found, strict=True):
                if status is not None and status.applied >= offset:
                    in_force.add(name)
                else:
                    lagging.append(Laggard(name=name, detail=_describe(status)))
            if not lagging or self._clock.now() + REPEAT_SECONDS > deadline:
                return Spread(sorted(in_force & names), lagging)
            self._clock.sleep(REPEAT_SECONDS)

    def _ask_all(self, name: str) -> RouterStatus | None:
        return self._ask(name, StatusRequest(members=True))

    def _ask(self, name: str, request: StatusRequest = _BRIEF) -> RouterStatus | None:
        if name == self._members.own.name:
            return self.own(members=request.members)
        deadline = self._clock.now() + REQUEST_SECONDS
        answer = self._peers.request(name, request, deadline).unwrap_or(None)
        return answer if isinstance(answer, RouterStatus) else None


def _describe(status: RouterStatus | None) -> str:
    if status is None:
        return "does not answer"
    reach = "" if status.log_reachable else ", cannot reach the log service"
    return f"has applied offset {status.applied}{reach}"
