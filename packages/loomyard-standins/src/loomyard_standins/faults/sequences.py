"""Run a drawn sequence of faults while requests of all kinds come."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from loomyard_standins.faults.checkers import check
from loomyard_standins.faults.fake_fleet import FakeFleet
from loomyard_standins.faults.fault_kind import FaultKind
from loomyard_standins.faults.happening import NOW
from loomyard_standins.faults.injection import inject
from loomyard_standins.faults.matrix import finish

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard_standins.faults.checkers import Violation
    from loomyard_standins.faults.happening import Happening

SOON = 0.2
END_SECONDS = 30.0
DEATHS = frozenset([FaultKind.ROUTER_KILLED, None])


def run_sequence(happenings: Iterable[Happening], **options: Any) -> list[Violation]:
    """Let things happen one after another, mend all, and check every invariant."""
    fleet = FakeFleet(hastened=True, **options)
    try:
        for number, happening in enumerate(happenings):
            _happen(fleet, number, happening)
        _repeat_keys(fleet)
        fleet.run(SOON)
        finish(fleet)
        _repeat_keys(fleet)
        fleet.run(SOON)
        fleet.run_until(lambda: fleet.callers.calls_ended, END_SECONDS)
        return check(fleet.sightings)
    finally:
        fleet.close()


def _happen(fleet: FakeFleet, number: int, happening: Happening) -> None:
    fleet.publisher.publish_generation()
    _work(fleet, f"{number}-before")
    fleet.turn(2)
    victim = list(fleet.routers)[happening.victim]
    if happening.point == NOW:
        _strike(fleet, happening, victim)
    else:
        points = fleet.routers[victim].points
        points.arm(happening.point, lambda: _strike(fleet, happening, victim))
    _work(fleet, f"{number}-after")
    fleet.run(happening.seconds)
    fleet.callers.watch_models()
    if happening.heals:
        fleet.heal()
        fleet.run(SOON)


def _strike(fleet: FakeFleet, happening: Happening, victim: str) -> None:
    fault = happening.fault
    if fault in DEATHS and len(fleet.live) < 2:
        fault = FaultKind.ROUTER_RESTARTED
    if fault is None:
        fleet.drain(victim)
        return
    if fault is FaultKind.LOG_DOWN:
        # What was accepted just before may be known to nobody who can be reached.
        fleet.forget_late_generations()
    inject(fault, fleet, victim)


def _work(fleet: FakeFleet, name: str) -> None:
    for router in fleet.routers:
        suffix = f"{name}-{router}"
        fleet.callers.call_model(f"kiosk/stream-{suffix}", router)
        fleet.callers.call_model(f"genealogy/whole-{suffix}", router, stream=False, tokens=20)
        fleet.callers.call_plain(f"labels/receipt-{suffix}", router)
        fleet.callers.call_plain(f"labels/keyed-{suffix}", router, key=f"key-{suffix}")


def _repeat_keys(fleet: FakeFleet) -> None:
    routers = list(fleet.routers)
    keyed = [saw for saw in fleet.sightings.callers if saw.key and not saw.repeat]
    for number, saw in enumerate(keyed):
        router = routers[number % len(routers)]
        fleet.callers.call_plain(saw.marker, router, key=saw.key).repeat = True
