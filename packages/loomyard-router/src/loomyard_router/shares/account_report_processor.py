"""Apply the account entries of router reports to the fleet-wide levels."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.shares.messages import UNKNOWN_LEVEL

if TYPE_CHECKING:
    from loomyard_router.shares.levels import FleetLevels
    from loomyard_router.shares.messages import AccountReport, ShareReport
    from loomyard_router.shares.reporting_router import ReportingRouter


class AccountReportProcessor:
    """Update the levels with which accounts wait or run at each router, and their service."""

    def __init__(self, levels: FleetLevels) -> None:
        self._levels = levels

    def apply(
        self,
        router: ReportingRouter,
        report: ShareReport,
        now: float,
        *,
        first: bool,
        credit: float,
    ) -> None:
        """Apply the account entries of a report.

        ``first`` marks the first report of a session; ``credit`` is how far below the minimum
        level an account whose requests only ran may start to wait again.
        """
        shift = self._levels.shift_from(report.min_level, credit) if first else None
        for account, update in report.accounts.items():
            known = update.known_level
            rebuilds = first and known != UNKNOWN_LEVEL
            before = router.accounts.get(account)
            if rebuilds and shift is not None:
                self._levels.merge_account(
                    router.source, account, update.served, known + shift, now
                )
                self._count_begun(account, before, update, now, credit, lift=False)
            else:
                # Lift before adding service, so that service received since the account became
                # active again counts on top of the lifted level.
                self._count_begun(account, before, update, now, credit, lift=not rebuilds)
                self._levels.report(router.source, account, update.served, known)
            self._count_ended(account, before, update, now)
            self._store(router, account, update)

    def remove_router(self, router: ReportingRouter, now: float) -> None:
        """Remove a router that no longer reports or began a new session."""
        self._levels.remove_source(router.source)
        for account, report in router.accounts.items():
            if report.waiting:
                self._levels.end_waiting(account, now)
            self._levels.end_active(account, now)

    def _count_begun(
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

    def _count_ended(
        self, account: bytes, before: AccountReport | None, update: AccountReport, now: float
    ) -> None:
        if before is None:
            return
        if before.waiting and not update.waiting:
            self._levels.end_waiting(account, now)
        if not update.active:
            self._levels.end_active(account, now)

    def _store(self, router: ReportingRouter, account: bytes, update: AccountReport) -> None:
        if update.active:
            router.accounts[account] = update
        else:
            router.accounts.pop(account, None)
            router.offsets.remove(account)
