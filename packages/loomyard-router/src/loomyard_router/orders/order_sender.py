"""Sending of the orders that bring a target to its desired service."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from attrs import define
from result import Err, Ok

from loomyard.errors import Executed, ResultCode
from loomyard.events import Event, emit
from loomyard.external.engine import EngineOrder
from loomyard_router.orders.order_action import OrderAction

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.external.engine import Engine
    from loomyard.external.weight_store import WeightStore
    from loomyard.objects import Target
    from loomyard_router.orders.order_lease_manager import OrderLeaseManager
    from loomyard_router.orders.target_view import TargetView

logger = logging.getLogger(__name__)

# Longer than the call that sends an order may take; the remaining lease must cover it.
ORDER_SECONDS = 3.0
# Reports show a load only when it is complete; it is not ordered again for this long.
LOAD_SECONDS = 30.0
RETRY_SECONDS = 2.0
# Used if the weight store refuses a reservation without a retry time.
DEFAULT_RESERVE_RETRY_SECONDS = 5.0


@define(eq=False)
class _Progress:
    next_at: float = float("-inf")
    load_at: float | None = None


class OrderSender:
    """Send the orders that are missing between the reported and the desired state of a target.

    Each order is idempotent; after a lost answer, the next load report shows whether it ran.
    """

    def __init__(
        self, clock: Clock, engine: Engine, weights: WeightStore, lease: OrderLeaseManager
    ) -> None:
        self._clock = clock
        self._engine = engine
        self._weights = weights
        self._lease = lease
        self._progress: dict[str, _Progress] = {}

    def clear(self) -> None:
        """Reset the progress of all targets."""
        self._progress.clear()

    def advance(self, view: TargetView, service: str) -> bool:
        """Send the next order, if one is due; return whether the target is as desired."""
        name = view.target.metadata.name
        if view.loaded == {service}:
            self._progress.pop(name, None)
            emit(logger, Event.ORDER_CONFIRMED, target=name, service=service)
            return True
        progress = self._progress.setdefault(name, _Progress())
        if self._clock.now() < progress.next_at:
            return False
        # Reserve at the weight store before unloading, so that no target stays empty meanwhile.
        if service not in view.loaded and not self._reserve_load(service, progress):
            return False
        surplus = sorted(view.loaded - {service})
        if surplus:
            self._send(view.target, OrderAction.UNLOAD, surplus[0], progress)
        else:
            self._send(view.target, OrderAction.LOAD, service, progress)
        return False

    def _reserve_load(self, service: str, progress: _Progress) -> bool:
        now = self._clock.now()
        if progress.load_at is None:
            match self._weights.reserve(service):
                case Err(fault):
                    progress.next_at = now + (fault.retry_after or DEFAULT_RESERVE_RETRY_SECONDS)
                    return False
                case Ok(at):
                    progress.load_at = at
        return self._clock.now() >= progress.load_at

    def _send(self, target: Target, action: OrderAction, subject: str, progress: _Progress) -> None:
        name = target.metadata.name
        progress.next_at = self._clock.now() + RETRY_SECONDS
        lease = self._lease.held(ORDER_SECONDS)
        if lease is None:
            return
        if not target.checks_fencing and self._clock.now() < lease.since + ORDER_SECONDS:
            # An order of the previous holder may be in transit, and this engine would accept it.
            return
        order = EngineOrder(action=action, subject=subject, fencing=lease.fencing)
        match self._engine.order(target.url, order):
            case Ok(_):
                executed = Executed.YES
                emit(logger, Event.ORDER_SENT, target=name, action=action, subject=subject)
            case Err(fault):
                executed = fault.executed
                emit(logger, Event.ORDER_FAILED, target=name, code=int(fault.code))
                if fault.code is ResultCode.ORDER_FENCED:
                    self._lease.invalidate()
        if action is OrderAction.LOAD and executed is not Executed.NO:
            progress.load_at = None
            progress.next_at = self._clock.now() + LOAD_SECONDS
