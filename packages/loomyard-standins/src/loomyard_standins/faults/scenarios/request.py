"""Scenario of a request at one router, by kind of request."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from loomyard_standins.faults.injection import OTHER, VICTIM
from loomyard_standins.faults.step import Step

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_standins.faults.fake_fleet import FakeFleet
    from loomyard_standins.faults.observations import CallRecord
    from loomyard_standins.faults.scenarios.trigger import Trigger

KEY = "8e03978e-40d5-43e8-bc93-6894a57f9324"
FILLERS = 8
AFTER_SECONDS = 1.0


class RequestKind(Enum):
    """A kind of request; the values label the runs of a cell."""

    STREAM = "stream"
    WHOLE = "whole"
    RECEIPT = "non-idempotent call"
    KEYED_RECEIPT = "non-idempotent call with a key"
    HOSTED_RECEIPT = "the same, and the fault affects the router that writes the claim"


KEYED = frozenset([RequestKind.KEYED_RECEIPT, RequestKind.HOSTED_RECEIPT])


def request_kinds(step: Step) -> list[RequestKind]:
    """Return the kinds of request to run for a step."""
    if step is Step.REQUEST_CLAIMED:
        return [RequestKind.KEYED_RECEIPT, RequestKind.HOSTED_RECEIPT]
    return [kind for kind in RequestKind if kind is not RequestKind.HOSTED_RECEIPT]


def run_request(fleet: FakeFleet, step: Step, kind: RequestKind, trigger: Trigger) -> None:
    """Send a request, inject the fault at a step, and repeat a keyed one at another router."""
    if step is Step.REQUEST_QUEUED:
        _fill(fleet)
    _arm(fleet, step, kind, trigger)
    _call(fleet, kind, VICTIM)
    if step is Step.REQUEST_QUEUED:
        trigger.fire(VICTIM)
        fleet.run_loop_passes()
        for target in fleet.targets.values():
            target.release()
    fleet.run(AFTER_SECONDS)
    if kind in KEYED:
        _call(fleet, kind, OTHER)
        fleet.run(AFTER_SECONDS)


def _arm(fleet: FakeFleet, step: Step, kind: RequestKind, trigger: Trigger) -> None:
    match step:
        case Step.REQUEST_RECEIVED:
            trigger.arm(fleet, "request.received", VICTIM)
        case Step.REQUEST_CLAIMED:
            victim = VICTIM if kind is not RequestKind.HOSTED_RECEIPT else ""
            trigger.arm_all(fleet, "log.appended loomyard.claims", victim)
        case Step.REQUEST_SENT:
            for target in fleet.targets.values():
                target.on_run = lambda _: trigger.fire(VICTIM)
        case Step.REQUEST_ANSWERING:
            trigger.arm(fleet, "engine.read", VICTIM)
        case Step.REQUEST_ENDED:
            trigger.arm(fleet, "engine.ended", VICTIM)


def _fill(fleet: FakeFleet) -> None:
    for target in fleet.targets.values():
        target.hold()
    for number in range(FILLERS):
        fleet.callers.call_model(f"genealogy/filler-{number}", VICTIM)
        fleet.callers.call_plain(f"genealogy/filler-plain-{number}", VICTIM, idempotent=True)


def _call(fleet: FakeFleet, kind: RequestKind, router: str) -> CallRecord:
    marker = f"kiosk/{kind.name.lower()}"
    calls: dict[RequestKind, Callable[[], CallRecord]] = {
        RequestKind.STREAM: lambda: fleet.callers.call_model(marker, router),
        RequestKind.WHOLE: lambda: fleet.callers.call_model(marker, router, stream=False),
        RequestKind.RECEIPT: lambda: fleet.callers.call_plain(marker, router),
        RequestKind.KEYED_RECEIPT: lambda: fleet.callers.call_plain(marker, router, key=KEY),
        RequestKind.HOSTED_RECEIPT: lambda: fleet.callers.call_plain(marker, router, key=KEY),
    }
    return calls[kind]()
