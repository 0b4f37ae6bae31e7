"""A request that waits for a place."""

from __future__ import annotations

from attrs import define, field
from gevent.event import AsyncResult

from loomyard_router.announced.target_incarnation import TargetIncarnation
from loomyard_router.routed.routed_request import RoutedRequest


@define(eq=False)
class Waiter:
    """A request, the targets that failed it, and its place once it has one."""

    request: RoutedRequest
    avoided: frozenset[TargetIncarnation]
    placed: AsyncResult = field(factory=AsyncResult)
