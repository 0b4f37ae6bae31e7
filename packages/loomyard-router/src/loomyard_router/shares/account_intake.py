"""Take the accounts of reports into the levels of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.shares.messages import UNKNOWN_LEVEL

if TYPE_CHECKING:
    from loomyard_router.shares.levels import FleetLevels
    from loomyard_router.shares.messages import AccountReport, ShareReport
    from loomyard_router.shares.reporting_router import ReportingRouter


class AccountIntake:
    """Note in the levels which accounts wait and run where, and what they received."""

    def __init__(self, levels: FleetLevels) -> None:
        self._levels = levels

    def take(
        self,
        router: ReportingRouter,
        report: ShareReport,
        now: float,
        *,
        first: bool,
        credit: float,
    ) -> None:
        """Take in the accounts of a report, the ``first`` of its session or a later one."""
        shift = self._levels.align(report.floor, credit) if first else None
        for account, update in report.accounts.items():
            known = update.known_level
            rebuilds = first and known != UNKNOWN_LEVEL
            before = router.accounts.get(account)
            if rebuilds and shift is not None:
                self._levels.join(router.source, account, update.service, known + shift, now)
                self._begin(account, before, update, now, credit, lift=False)
            else:
                # A lift comes before the service that the account received since its return.
                self._begin(account, before, update, now, credit, lift=not rebuilds)
                self._levels.report(router.source, account, update.service, known)
            self._end(account, before, update, now)
            self._keep(router, account, update)

    def drop(self, router: ReportingRouter, now: float) -> None:
        """Take in that a router is heard no more."""
        self._levels.forget(router.source)
        for account, report in router.accounts.items():
            if report.waiting:
                self._levels.end_waiting(account, now)
            self._levels.end_active(account, now)

    def _begin(
        self,
        account: bytes,
        before: AccountReport | None,
        update: AccountReport,
        now: float,
        credit: float,
        *,
        lift: bool,
    ) -> None:
        if update.active and before is None:
            self._levels.begin_active(account, now, lift=lift)
        if update.waiting and not (before and before.waiting):
            self._levels.begin_waiting(account, now, credit=credit, lift=lift)

    def _end(
        self, account: bytes, before: AccountReport | None, update: AccountReport, now: float
    ) -> None:
        if before is None:
            return
        if before.waiting and not update.waiting:
            self._levels.end_waiting(account, now)
        if not update.active:
            self._levels.end_active(account, now)

    def _keep(self, router: ReportingRouter, account: bytes, update: AccountReport) -> None:
        if update.active:
            router.accounts[account] = update
        else:
            router.accounts.pop(account, None)
            router.offsets.drop(account)
