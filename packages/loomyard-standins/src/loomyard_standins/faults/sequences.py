"""Runner of fault sequences under a load of all kinds of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from loomyard_standins.faults.checkers import check
from loomyard_standins.faults.fake_fleet import FakeFleet
from loomyard_standins.faults.fault_event import NOW
from loomyard_standins.faults.fault_kind import FaultKind
from loomyard_standins.faults.injection import inject
from loomyard_standins.faults.matrix import finish

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard_standins.faults.checkers import Violation
    from loomyard_standins.faults.fault_event import FaultEvent

SOON = 0.2
END_SECONDS = 30.0
ROUTER_LOSSES = frozenset([FaultKind.ROUTER_KILLED, None])


def run_sequence(events: Iterable[FaultEvent], **options: Any) -> list[Violation]:
    """Apply fault events in order, heal all faults and check every invariant.

    ``options`` are those of ``FakeFleet``. Keyed requests are repeated at other routers, before
    and after the faults are healed.
    """
    fleet = FakeFleet(short_times=True, **options)
    try:
        for number, event in enumerate(events):
            _apply_event(fleet, number, event)
        _repeat_keys(fleet)
        fleet.run(SOON)
        finish(fleet)
        _repeat_keys(fleet)
        fleet.run(SOON)
        fleet.run_until(lambda: fleet.callers.calls_ended, END_SECONDS)
        return check(fleet.observations)
    finally:
        fleet.close()


def _apply_event(fleet: FakeFleet, number: int, event: FaultEvent) -> None:
    fleet.publisher.publish_generation()
    _start_requests(fleet, f"{number}-before")
    fleet.run_loop_passes(2)
    victim = list(fleet.routers)[event.victim]
    if event.point == NOW:
        _inject(fleet, event, victim)
    else:
        points = fleet.routers[victim].points
        points.arm(event.point, lambda: _inject(fleet, event, victim))
    _start_requests(fleet, f"{number}-after")
    fleet.run(event.seconds)
    fleet.callers.watch_models()
    if event.heals:
        fleet.heal()
        fleet.run(SOON)


def _inject(fleet: FakeFleet, event: FaultEvent, victim: str) -> None:
    fault = event.fault
    if fault in ROUTER_LOSSES and len(fleet.live) < 2:
        fault = FaultKind.ROUTER_RESTARTED
    if fault is None:
        fleet.drain(victim)
        return
    if fault is FaultKind.LOG_DOWN:
        # A change accepted just before may be known to no reachable router.
        fleet.exclude_recent_generations()
    inject(fault, fleet, victim)


def _start_requests(fleet: FakeFleet, name: str) -> None:
    for router in fleet.routers:
        suffix = f"{name}-{router}"
        fleet.callers.call_model(f"kiosk/stream-{suffix}", router)
        fleet.callers.call_model(f"genealogy/whole-{suffix}", router, stream=False, tokens=20)
        fleet.callers.call_plain(f"labels/receipt-{suffix}", router)
        fleet.callers.call_plain(f"labels/keyed-{suffix}", router, key=f"key-{suffix}")


def _repeat_keys(fleet: FakeFleet) -> None:
    routers = list(fleet.routers)
    keyed = [record for record in fleet.observations.calls if record.key and not record.repeat]
    for number, record in enumerate(keyed):
        router = routers[number % len(routers)]
        fleet.callers.call_plain(record.marker, router, key=record.key).repeat = True
