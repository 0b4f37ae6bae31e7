"""Execution of orders by an engine, with or without a check of the fencing number."""

from __future__ import annotations

import gevent
from attrs import define, field

from loomyard.external.engine import EngineOrder


@define(eq=False)
class OrderExecutor:
    """Loads and unloads models and changes the role of an engine as ordered.

    ``applied`` and ``refused`` record the orders received, in order of arrival.
    """

    models: list[str]
    checks_fencing: bool = False
    load_seconds: float = 0.0
    highest_fencing: int = -1
    role: str = ""
    applied: list[EngineOrder] = field(factory=list)
    refused: list[EngineOrder] = field(factory=list)

    def apply(self, order: EngineOrder) -> bool:
        """Execute an order; return false if its fencing number is checked and outdated."""
        if self.checks_fencing and order.fencing < self.highest_fencing:
            self.refused.append(order)
            return False
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self.applied.append(order)
        if order.action == "load":
            gevent.sleep(self.load_seconds)
            if order.subject not in self.models:
                self.models.append(order.subject)
        elif order.action == "unload" and order.subject in self.models:
            self.models.remove(order.subject)
        elif order.action == "role":
            self.role = order.subject
        return True
