"""Draw the faults of a soak run from its seed."""

from __future__ import annotations

import random
from enum import Enum

from attrs import frozen


class ProgramFault(Enum):
    """A fault of a program or of its connections.

    Plans depend on the order and number of the members.
    """

    KILL_ROUTER = "a router is killed and restarted"
    STOP_ROUTER = "a router is asked to stop by SIGTERM and restarted"
    PAUSE_ROUTER = "the process of a router is paused"
    SUSPEND_ROUTER = "the VM of a router is suspended: its monotonic clock stops as well"
    CRASH_TARGET = "a target is killed and replaced"
    LEAVE_TARGET = "a target announces in its entry that it leaves, stops later and is replaced"
    PAUSE_TARGET = "the process of a target is paused"
    CUT_TARGET = "connections to a target fail"
    RESTART_TARGET = "a target is killed and restarted under the same id"
    COLD_TARGET = "a target announces that it is cold and can serve a few requests a second"
    EVACUATE_DATA_CENTRE = "an operator evacuates a data centre and reinstates it"
    WRITE_INVALID_ENTRIES = "another writer leaves invalid entries in the store"
    PAUSE_STORE = "the process of the store is paused"
    REFUSE_STORE_CALLS = "the store refuses every call"
    CUT_STORE = "connections of some routers to the store fail"
    CUT_STORE_FOR_ALL = "connections of all routers to the store fail"
    ROLL_BACK_STORE = "the store is unavailable, then rolls back to a copy some seconds old"
    NOTIFY_LEAVING = "a target announces only in its answers that it leaves"
    REQUEST_BACKOFF = "a target refuses requests and asks for back-off"
    RELOAD_ROUTER = "a router gets SIGHUP several times, also while it starts or stops"
    STALL_AT_LEAVING = "all routers stand still as a target announces in its entry that it leaves"


@frozen
class SeparateDraw:
    """A fault drawn by a generator of its own, which ``name`` seeds, up to ``max_count`` times."""

    name: str
    max_count: int


# Drawn separately so that the other faults of a seed do not depend on these.
SEPARATE_DRAWS = {
    ProgramFault.ROLL_BACK_STORE: SeparateDraw("losses", 3),
    ProgramFault.NOTIFY_LEAVING: SeparateDraw("leavings", 1),
    ProgramFault.REQUEST_BACKOFF: SeparateDraw("rests", 2),
    ProgramFault.RELOAD_ROUTER: SeparateDraw("reloads", 3),
    ProgramFault.STALL_AT_LEAVING: SeparateDraw("stalls", 1),
}


@frozen(kw_only=True)
class PlannedFault:
    """A fault from ``at`` until ``until``, in seconds after the start.

    ``choice`` is a random number that selects the component and the variant.
    """

    at: float
    until: float
    fault: ProgramFault
    choice: int


def draw_plan(seed: int, *, seconds: float, every: float) -> list[PlannedFault]:
    """Return the faults ordered by start; they may overlap, and all end within ``seconds``."""
    rng = random.Random(seed)
    plan = []
    at = every
    while at < seconds - every:
        until = min(at + rng.uniform(0.3, 4.0), seconds)
        fault = rng.choice([fault for fault in ProgramFault if fault not in SEPARATE_DRAWS])
        plan.append(PlannedFault(at=at, until=until, fault=fault, choice=rng.randrange(2**16)))
        at += every * rng.uniform(0.3, 1.7)
    for fault, draw in SEPARATE_DRAWS.items():
        plan += _draw_separately(fault, draw, seed, seconds=seconds, every=every)
    return sorted(plan, key=lambda planned: planned.at)


def _draw_separately(
    fault: ProgramFault, draw: SeparateDraw, seed: int, *, seconds: float, every: float
) -> list[PlannedFault]:
    rng = random.Random(f"{draw.name} {seed}")
    drawn = []
    for _ in range(rng.randint(1, draw.max_count)):
        at = rng.uniform(every, max(every, seconds - 4 * every))
        until = at + rng.uniform(0.2, 2.0)
        drawn.append(PlannedFault(at=at, until=until, fault=fault, choice=rng.randrange(2**16)))
    return drawn
