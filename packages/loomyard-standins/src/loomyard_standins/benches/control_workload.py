"""Light workload that shows how control traffic grows with accounts and routers."""

from __future__ import annotations

from loomyard.objects import ServiceType
from loomyard_standins.benches.account_plan import AccountPlan, Pattern
from loomyard_standins.benches.workload import ServicePlan, Workload

SERVICE = "records"
TARGETS = 3
CALLERS = 4
MEAN_SECONDS = 0.15
STEP_SECONDS = 0.003


def make_control_workload(*, routers: int, accounts_per_router: int) -> Workload:
    """Make a workload of plain calls in which each account is always backlogged at one router.

    There are slots for half of the accounts; calls are few, so that the request rate itself does
    not dominate the measurement.
    """
    accounts = tuple(
        AccountPlan(
            name=f"account-{number}",
            pattern=Pattern.BACKLOG,
            services=(SERVICE,),
            routers=(number % routers,),
            mean_cost=MEAN_SECONDS,
            callers=CALLERS,
        )
        for number in range(routers * accounts_per_router)
    )
    slots = max(1, routers * accounts_per_router // 2 // TARGETS)
    plan = ServicePlan(name=SERVICE, type=ServiceType.PLAIN, targets=TARGETS, slots=slots)
    return Workload(
        name="control",
        step_seconds=STEP_SECONDS,
        services=(plan,),
        accounts=accounts,
        smallest=accounts[0].name,
    )
