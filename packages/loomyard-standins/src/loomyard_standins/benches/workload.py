"""Workloads of the two modelled deployments: services, targets and client accounts."""

from __future__ import annotations

from attrs import frozen

from loomyard.objects import ServiceType
from loomyard_standins.benches.account_plan import AccountPlan, Pattern

SLOTS = 4
ROUTERS = 8
PLAIN_SECONDS = 0.06


@frozen(kw_only=True)
class ServicePlan:
    """A service, the number of its targets and the slots of each."""

    name: str
    type: ServiceType
    targets: int
    slots: int = SLOTS


@frozen(kw_only=True)
class Workload:
    """A workload; ``smallest`` and ``flooding`` name accounts, ``step_seconds`` is per token."""

    name: str
    step_seconds: float
    services: tuple[ServicePlan, ...]
    accounts: tuple[AccountPlan, ...]
    smallest: str = "kiosk"
    flooding: str = "flood"


def make_workload(user: str) -> Workload:
    """Make the workload of a deployment, one of ``USERS``."""
    first, second, plain = _SERVICES[user]
    counts = _TARGETS[user]
    return Workload(
        name=user,
        step_seconds=_STEPS[user],
        services=(
            ServicePlan(name=first, type=ServiceType.MODEL, targets=counts[0]),
            ServicePlan(name=second, type=ServiceType.MODEL, targets=counts[1]),
            ServicePlan(name=plain, type=ServiceType.PLAIN, targets=counts[2]),
        ),
        accounts=_accounts(first, second, plain),
    )


_SERVICES = {
    "cambiavolt": ("assistant", "drafts", "records"),
    "cap-bon": ("genealogy", "notes", "trace"),
}
_TARGETS = {"cambiavolt": (4, 2, 3), "cap-bon": (3, 2, 3)}
_STEPS = {"cambiavolt": 0.003, "cap-bon": 0.004}
USERS = tuple(_SERVICES)


def _accounts(first: str, second: str, plain: str) -> tuple[AccountPlan, ...]:
    return (
        _backlog("large-1", first, (0,), 200, weight=2.0, callers=24),
        _backlog("large-2", first, (1, 2), 300, callers=24),
        _backlog("large-3", second, (3,), 240, weight=2.0, callers=16),
        _backlog("middle-1", first, (1,), 60),
        _backlog("middle-2", first, (4,), 80),
        _backlog("middle-3", first, (5,), 100),
        _backlog("middle-4", first, (4, 5), 120),
        _backlog("middle-5", second, (5,), 100),
        _backlog("middle-6", second, (6,), 150),
        _backlog("two-services", first, (6, 7), 90, also=second),
        AccountPlan(
            name="returning",
            pattern=Pattern.RETURNING,
            services=(first,),
            routers=(7,),
            mean_cost=80,
            callers=12,
        ),
        # Equal means: routers count a few ms of network time as target time, which would look
        # like unfairness between accounts whose calls differ in length.
        _backlog("plain-1", plain, (2,), PLAIN_SECONDS),
        _backlog("plain-2", plain, (6,), PLAIN_SECONDS),
        AccountPlan(
            name="labels",
            pattern=Pattern.BURSTS,
            services=(plain,),
            routers=(7,),
            mean_cost=PLAIN_SECONDS,
            callers=24,
        ),
        AccountPlan(
            name="kiosk",
            pattern=Pattern.POISSON,
            services=(first,),
            routers=(0,),
            mean_cost=8,
            rate=20.0,
        ),
        AccountPlan(
            name="flood",
            pattern=Pattern.FLOOD,
            services=(first,),
            routers=(0, 4),
            mean_cost=40,
            rate=80.0,
            queue_limit=64,
        ),
    )


def _backlog(
    name: str,
    service: str,
    routers: tuple[int, ...],
    mean_cost: float,
    *,
    also: str = "",
    weight: float = 1.0,
    callers: int = 10,
) -> AccountPlan:
    return AccountPlan(
        name=name,
        pattern=Pattern.BACKLOG,
        services=(service, also) if also else (service,),
        routers=routers,
        mean_cost=mean_cost,
        weight=weight,
        callers=callers,
    )
