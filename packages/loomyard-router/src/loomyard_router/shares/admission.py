"""Admission of one request to one target."""

from __future__ import annotations

from attrs import define

from loomyard.objects import Target
from loomyard_router.shares.waiting import WaitingRequest


@define(kw_only=True, eq=False)
class Admission:
    """A target slot occupied by a request; ``charged`` is the cost charged so far."""

    waiting: WaitingRequest
    target: Target
    admitted_at: float
    charged: float = 0.0
