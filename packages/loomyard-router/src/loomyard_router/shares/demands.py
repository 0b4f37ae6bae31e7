"""Demand for slots over the whole fleet, by service."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from attrs import define, frozen

from loomyard_router.shares.reporting_router import ReportingRouter

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard_router.shares.levels import FleetLevels


@frozen(eq=False)
class Demand:
    """Requests of one account that wait for one service at one router.

    ``count`` requests wait, ``unmet`` of them without a slot granted already; ``estimate`` is the
    cost of the oldest over weight.
    """

    router: ReportingRouter
    account: bytes
    service: bytes
    level: float
    estimate: int
    count: int
    unmet: int
    starved: bool


@define
class _LowestLevel:
    """Lowest level waiting for a service, its router, and the lowest level at other routers."""

    level: float
    router: str
    at_others: float | None = None

    def add(self, level: float, router: str) -> None:
        if level < self.level:
            if router != self.router:
                self.at_others = self.level
            self.level, self.router = level, router
        elif router != self.router and (self.at_others is None or level < self.at_others):
            self.at_others = level


class Demands:
    """All demands at one moment, with their lowest level and mean estimate."""

    def __init__(self, routers: Iterable[ReportingRouter], levels: FleetLevels) -> None:
        self.by_service: defaultdict[bytes, list[Demand]] = defaultdict(list)
        self.min_level: float | None = None
        self.mean_estimate = 0
        self.count = 0
        self._lowest: dict[bytes, _LowestLevel] = {}
        estimates = 0
        for router in routers:
            unmet = router.count_pending()
            for account, report in router.accounts.items():
                if not report.waiting:
                    continue
                level = levels.level(account)
                self.min_level = level if self.min_level is None else min(self.min_level, level)
                for service, waiting in report.waiting.items():
                    self.count += 1
                    estimates += waiting.estimate
                    self._note_lowest(service, level, router.name)
                    self.by_service[service].append(
                        Demand(
                            router,
                            account,
                            service,
                            level,
                            waiting.estimate,
                            waiting.count,
                            waiting.count - unmet[account, service],
                            waiting.starved,
                        )
                    )
        if self.count:
            self.mean_estimate = round(estimates / self.count)

    def _note_lowest(self, service: bytes, level: float, router: str) -> None:
        lowest = self._lowest.get(service)
        if lowest is None:
            self._lowest[service] = _LowestLevel(level, router)
        else:
            lowest.add(level, router)

    def lowest_at_others(self, service: bytes, name: str) -> float | None:
        """Return the lowest level that waits for a service at routers other than ``name``."""
        lowest = self._lowest.get(service)
        if lowest is None:
            return None
        return lowest.at_others if lowest.router == name else lowest.level
