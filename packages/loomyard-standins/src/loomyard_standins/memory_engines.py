"""Engines in memory that report load and execute orders, for tests with a fake clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field
from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.external.engine import CacheEvent, EngineOrder, LoadReport
from loomyard_standins.engine_cache import PrefixCache
from loomyard_standins.engine_orders import OrderExecutor

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.external.engine import TargetAnswer, TargetCall


@define(eq=False)
class MemoryEngine:
    """One engine.

    Injected faults: ``stuck`` accepts orders and never executes them; the next ``lose_answers``
    orders are executed but report a lost answer; with ``reachable`` false, load reports, cache
    events and orders fail.
    """

    report: LoadReport
    orders: OrderExecutor
    cache: PrefixCache = field(factory=PrefixCache)
    reachable: bool = True
    stuck: bool = False
    lose_answers: int = 0
    polls: int = 0


class MemoryEngines:
    """Engines by URL; ``before_order`` is called before each order is delivered."""

    def __init__(self) -> None:
        self.engines: dict[str, MemoryEngine] = {}
        self.before_order: Callable[[str, EngineOrder], None] | None = None

    def add(self, url: str, *models: str, checks_fencing: bool = False) -> MemoryEngine:
        """Add an idle engine with some models loaded."""
        report = LoadReport(running=0, waiting=0, step_seconds=0.003)
        orders = OrderExecutor(list(models), checks_fencing)
        self.engines[url] = MemoryEngine(report, orders)
        return self.engines[url]

    def open(self, call: TargetCall) -> Result[TargetAnswer, Fault]:
        return Err(_unreachable(call.url))

    def resume(self, call: TargetCall, after: int) -> Result[TargetAnswer, Fault]:
        return Err(_unreachable(call.url))

    def cancel(self, url: str, attempt_id: str) -> Result[None, Fault]:
        return Ok(None)

    def load(self, url: str) -> Result[LoadReport, Fault]:
        engine = self.engines[url]
        engine.polls += 1
        if not engine.reachable:
            return Err(_unreachable(url))
        orders = engine.orders
        return Ok(evolve(engine.report, models=list(orders.models), fencing=orders.highest_fencing))

    def cache_events(self, url: str, after: int) -> Result[list[CacheEvent], Fault]:
        engine = self.engines[url]
        return Ok(engine.cache.events_after(after)) if engine.reachable else Err(_unreachable(url))

    def order(self, url: str, order: EngineOrder) -> Result[None, Fault]:
        if self.before_order is not None:
            self.before_order(url, order)
        engine = self.engines[url]
        if not engine.reachable:
            return Err(_unreachable(url))
        if engine.stuck:
            return Ok(None)
        if not engine.orders.apply(order):
            return Err(Fault(code=ResultCode.ORDER_FENCED, detail="old fencing number"))
        if engine.lose_answers:
            engine.lose_answers -= 1
            return Err(
                Fault(
                    code=ResultCode.ANSWER_LOST,
                    detail="the answer was lost",
                    executed=Executed.UNKNOWN,
                )
            )
        return Ok(None)


def _unreachable(url: str) -> Fault:
    return Fault(code=ResultCode.TARGET_UNREACHABLE, detail=f"{url} does not answer")
