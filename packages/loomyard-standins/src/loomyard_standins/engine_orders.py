"""The orders that an engine takes, with and without a check of the fencing number."""

from __future__ import annotations

import gevent
from attrs import define, field

from loomyard.external.engine import EngineOrder


@define(eq=False)
class OrderBook:
    """Load and unload models, change the role.

    ``taken`` and ``refused`` are what the engine saw.
    """

    models: list[str]
    checks_fencing: bool = False
    load_seconds: float = 0.0
    highest_fencing: int = -1
    role: str = ""
    taken: list[EngineOrder] = field(factory=list)
    refused: list[EngineOrder] = field(factory=list)

    def take(self, order: EngineOrder) -> bool:
        """Carry an order out; false where its fencing number is old."""
        if self.checks_fencing and order.fencing < self.highest_fencing:
            self.refused.append(order)
            return False
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self.taken.append(order)
        if order.action == "load":
            gevent.sleep(self.load_seconds)
            if order.subject not in self.models:
                self.models.append(order.subject)
        elif order.action == "unload" and order.subject in self.models:
            self.models.remove(order.subject)
        elif order.action == "role":
            self.role = order.subject
        return True
