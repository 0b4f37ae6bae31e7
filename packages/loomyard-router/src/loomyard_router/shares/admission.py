"""The permission to send one request to one target."""

from __future__ import annotations

from attrs import define

from loomyard.objects import Target
from loomyard_router.shares.waiting import WaitingRequest


@define(kw_only=True, eq=False)
class Admission:
    """A slot at a target, taken by a request; ``charged`` is the service charged so far."""

    waiting: WaitingRequest
    target: Target
    admitted_at: float
    charged: float = 0.0
