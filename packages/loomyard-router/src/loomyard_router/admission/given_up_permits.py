"""Permits that were released before their requests were handled."""

from __future__ import annotations

from collections import OrderedDict

from attrs import define, field

from loomyard_router.admission.permit_id import PermitId

# More than all links of a router deliver between a pause and the next turn of its tasks.
MAX_PERMITS = 4096


@define(eq=False)
class GivenUpPermits:
    """Remember released permits that had no slot, so that late requests for them get none.

    A release is handled as it is read, a request by a task after that. ``count`` is the number of
    requests that were given up since the start.
    """

    count: int = 0
    _permits: OrderedDict[PermitId, None] = field(factory=OrderedDict)

    def add(self, permit: PermitId) -> None:
        """Remember a permit; over the limit the oldest one is forgotten."""
        self.count += 1
        self._permits[permit] = None
        if len(self._permits) > MAX_PERMITS:
            self._permits.popitem(last=False)

    def remove(self, permit: PermitId) -> bool:
        """Forget a permit; tell whether it was remembered."""
        if permit not in self._permits:
            return False
        del self._permits[permit]
        return True
