"""What waits in the fleet, by service."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from attrs import frozen

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


class Demands:
    """All demands at one moment."""

    def __init__(self, routers: Iterable[ReportingRouter], levels: FleetLevels) -> None:
        self.by_service: defaultdict[bytes, list[Demand]] = defaultdict(list)
        self.floor: float | None = None
        self.margin = 0
        estimates = []
        for router in routers:
            for account, report in router.accounts.items():
                for service, waiting in report.waiting.items():
                    level = levels.level(account)
                    self.floor = level if self.floor is None else min(self.floor, level)
                    estimates.append(waiting.estimate)
                    self.by_service[service].append(
                        Demand(
                            router,
                            account,
                            service,
                            level,
                            waiting.estimate,
                            waiting.count,
                            router.unmet(account, service),
                            waiting.overdue,
                        )
                    )
        if estimates:
            self.margin = round(sum(estimates) / len(estimates))

    def lowest_elsewhere(self, service: bytes, name: str) -> float | None:
        """Return the least level that waits for a service at other routers."""
        found = self.by_service.get(service, ())
        return min((d.level for d in found if d.router.name != name), default=None)
