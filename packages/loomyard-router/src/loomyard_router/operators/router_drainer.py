"""Planned stops of routers, requested by operators."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard_router.operators.documents import DrainOutcome
from loomyard_router.operators.messages import DrainAnswer, DrainRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

logger = logging.getLogger(__name__)

REQUEST_SECONDS = 2.0


class RouterDrainer:
    """Starts the planned stop of this router, or requests it from another."""

    def __init__(
        self,
        *,
        clock: Clock,
        members: Membership,
        peers: PeerLinks,
        begin_stop: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._begin_stop = begin_stop
        peers.handle(DrainRequest, self._answer)

    def drain(self, name: str) -> Result[DrainOutcome, Fault]:
        """Start the planned stop of a router.

        Errors: ``UNKNOWN_OBJECT``, ``PEER_UNREACHABLE``, ``PEER_REFUSED``.
        """
        member = self._members.find(name)
        if member is None:
            return Err(Fault(code=ResultCode.UNKNOWN_OBJECT, detail=f"no router {name!r}"))
        request = DrainRequest(incarnation=member.incarnation)
        if name == self._members.own.name:
            return _outcome(name, self._answer(member, request))
        deadline = self._clock.now() + REQUEST_SECONDS
        answered = self._peers.request(name, request, deadline)
        if answered.is_err():
            return Err(answered.unwrap_err())
        return _outcome(name, answered.unwrap())

    def _answer(self, _: Member, request: DrainRequest) -> DrainAnswer:
        if request.incarnation != self._members.own.incarnation:
            return DrainAnswer(accepted=False, detail="the request is for another incarnation")
        emit(logger, Event.OPERATOR_DRAIN, router=self._members.own.name)
        self._begin_stop()
        return DrainAnswer(accepted=True)


def _outcome(name: str, answer: object) -> Result[DrainOutcome, Fault]:
    if isinstance(answer, DrainAnswer) and answer.accepted:
        return Ok(DrainOutcome(name=name, detail="the planned stop has begun"))
    detail = answer.detail if isinstance(answer, DrainAnswer) else "no valid answer"
    return Err(Fault(code=ResultCode.PEER_REFUSED, detail=detail))
