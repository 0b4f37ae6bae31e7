"""Injection of each kind of fault into a fake fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_standins.faults.answer_fault import AnswerFault
from loomyard_standins.faults.fault_kind import FaultKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_standins.faults.fake_fleet import FakeFleet

    Injection = Callable[[FakeFleet, str], None]

VICTIM = "router-0"
OTHER = "router-1"
SLOW_SECONDS = 0.6
FLOOD_REQUESTS = 300
FLOOD_ACCOUNT = "labels"


def inject(fault: FaultKind, fleet: FakeFleet, victim: str) -> None:
    """Inject a fault now; ``victim`` is the router affected by a router fault."""
    _INJECTIONS[fault](fleet, victim)


def _kill(fleet: FakeFleet, victim: str) -> None:
    fleet.kill(victim)


def _restart(fleet: FakeFleet, victim: str) -> None:
    fleet.restart(victim)


def _pause(fleet: FakeFleet, victim: str) -> None:
    fleet.pause(victim)


def _partition(fleet: FakeFleet, victim: str) -> None:
    fleet.partition(victim)


def _fail_answer(fault: AnswerFault) -> Injection:
    def apply(fleet: FakeFleet, victim: str) -> None:
        fleet.fail_answer(fault)

    return apply


def _log_down(fleet: FakeFleet, victim: str) -> None:
    fleet.log.down = True


def _log_slow(fleet: FakeFleet, victim: str) -> None:
    for router in fleet.routers.values():
        router.points.log_delay = SLOW_SECONDS


def _log_answer_lost(fleet: FakeFleet, victim: str) -> None:
    fleet.log.lose_answers = 1


def _log_trimmed(fleet: FakeFleet, victim: str) -> None:
    fleet.publisher.trim_log()


def _vm_list_stale(fleet: FakeFleet, victim: str) -> None:
    # The VM list still shows the VM as live, while the target on it refuses new work.
    fleet.engines[0].leaving = True
    fleet.records[0].leaving = True


def _operators_racing(fleet: FakeFleet, victim: str) -> None:
    fleet.publisher.publish_race()


def _flood(fleet: FakeFleet, victim: str) -> None:
    for number in range(FLOOD_REQUESTS):
        router = VICTIM if number % 2 else OTHER
        fleet.callers.call_model(f"{FLOOD_ACCOUNT}/flood-{number}", router, tokens=2)


def _weight_store_limited(fleet: FakeFleet, victim: str) -> None:
    fleet.weight_store.reserve("other-model")


_INJECTIONS: dict[FaultKind, Injection] = {
    FaultKind.ROUTER_KILLED: _kill,
    FaultKind.ROUTER_PAUSED: _pause,
    FaultKind.ROUTER_RESTARTED: _restart,
    FaultKind.ROUTER_PARTITIONED: _partition,
    FaultKind.TARGET_GONE_BEFORE: _fail_answer(AnswerFault.GONE_BEFORE),
    FaultKind.TARGET_GONE_DURING: _fail_answer(AnswerFault.GONE_DURING),
    FaultKind.TARGET_GONE_AFTER: _fail_answer(AnswerFault.GONE_AFTER),
    FaultKind.ANSWER_LATE: _fail_answer(AnswerFault.LATE),
    FaultKind.ANSWER_LOST: _fail_answer(AnswerFault.LOST),
    FaultKind.ANSWER_DOUBLED: _fail_answer(AnswerFault.DOUBLED),
    FaultKind.ANSWER_CROSSED: _fail_answer(AnswerFault.CROSSED),
    FaultKind.LOG_DOWN: _log_down,
    FaultKind.LOG_SLOW: _log_slow,
    FaultKind.LOG_ANSWER_LOST: _log_answer_lost,
    FaultKind.LOG_TRIMMED: _log_trimmed,
    FaultKind.VM_LIST_STALE: _vm_list_stale,
    FaultKind.OPERATORS_RACING: _operators_racing,
    FaultKind.FLOOD: _flood,
    FaultKind.WEIGHT_STORE_LIMITED: _weight_store_limited,
}
