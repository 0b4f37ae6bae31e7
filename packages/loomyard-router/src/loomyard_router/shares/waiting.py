"""Requests that wait for a slot."""

from __future__ import annotations

from attrs import define, field
from gevent.event import AsyncResult

from loomyard.objects import ClientAccount, Service, Target
from loomyard_router.shares.short_ids import short_id


@define(kw_only=True, eq=False)
class WaitingRequest:
    """A request that waits for a slot.

    ``estimate`` is its cost in the units of the service; ``enqueued_at`` and ``deadline`` are in
    seconds of the monotonic clock. ``prefix`` identifies the prompt prefix for cache locality.
    ``admitted`` receives the ``Admission``, or a ``Fault`` if the request is refused later.
    """

    request_id: str
    account: ClientAccount
    service: Service
    targets: tuple[Target, ...]
    estimate: float
    enqueued_at: float
    deadline: float
    prefix: str = ""
    admitted: AsyncResult = field(factory=AsyncResult)
    targets_by_id: dict[bytes, Target] = field(init=False)

    @targets_by_id.default
    def _index_targets(self) -> dict[bytes, Target]:
        return self._index()

    def retarget(self, targets: tuple[Target, ...]) -> None:
        """Replace the targets to which the request may be admitted; it keeps its queue position."""
        self.targets = targets
        self.targets_by_id = self._index()

    def _index(self) -> dict[bytes, Target]:
        return {short_id(target.metadata.name): target for target in self.targets}
