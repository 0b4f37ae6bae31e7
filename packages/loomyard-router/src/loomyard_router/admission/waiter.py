"""A request that waits for a slot at a local gate."""

from __future__ import annotations

from attrs import define, field
from gevent.event import AsyncResult

from loomyard_router.announced.target_incarnation import TargetLife
from loomyard_router.routed.routed_request import RoutedRequest


@define(eq=False)
class Waiter:
    """A request, the targets it must not get, and ``permit``, set to ``None`` to end the wait."""

    request: RoutedRequest
    excluded: frozenset[TargetLife]
    permit: AsyncResult = field(factory=AsyncResult)
