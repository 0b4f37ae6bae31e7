"""What waits in the fleet, by service."""

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
    """Requests of one account that wait for one service at one router."""

    router: ReportingRouter
    account: bytes
    service: bytes
    level: float
    estimate: int
    count: int
    unmet: int
    overdue: bool


@define
class _Lowest:
    """The least level that waits for a service, where, and the least at other routers."""

    level: float
    router: str
    elsewhere: float | None = None

    def note(self, level: float, router: str) -> None:
        if level < self.level:
            if router != self.router:
                self.elsewhere = self.level
            self.level, self.router = level, router
        elif router != self.router and (self.elsewhere is None or level < self.elsewhere):
            self.elsewhere = level


class Demands:
    """All demands at one moment."""

    def __init__(self, routers: Iterable[ReportingRouter], levels: FleetLevels) -> None:
        self.by_service: defaultdict[bytes, list[Demand]] = defaultdict(list)
        self.floor: float | None = None
        self.margin = 0
        self.count = 0
        self._lowest: dict[bytes, _Lowest] = {}
        estimates = 0
        for router in routers:
            unmet = router.count_pending()
            for account, report in router.accounts.items():
                if not report.waiting:
                    continue
                level = levels.level(account)
                self.floor = level if self.floor is None else min(self.floor, level)
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
                            waiting.overdue,
                        )
                    )
        if self.count:
            self.margin = round(estimates / self.count)

    def _note_lowest(self, service: bytes, level: float, router: str) -> None:
        lowest = self._lowest.get(service)
        if lowest is None:
            self._lowest[service] = _Lowest(level, router)
        else:
            lowest.note(level, router)

    def lowest_elsewhere(self, service: bytes, name: str) -> float | None:
        """Return the least level that waits for a service at other routers."""
        lowest = self._lowest.get(service)
        if lowest is None:
            return None
        return lowest.elsewhere if lowest.router == name else lowest.level
