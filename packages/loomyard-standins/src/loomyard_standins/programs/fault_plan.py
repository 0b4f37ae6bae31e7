"""Faults of a soak, drawn from its seed."""

from __future__ import annotations

import random
from enum import Enum

from attrs import frozen


class ProgramFault(Enum):
    """What befalls a program, or a connection."""

    KILL_ROUTER = "a router is killed and starts again"
    STOP_ROUTER = "a router is told to stop, and starts again"
    PAUSE_ROUTER = "a router stands still"
    SUSPEND_ROUTER = "the VM of a router is suspended: its steady clock stands still too"
    CRASH_TARGET = "a target is killed, another starts"
    LEAVE_TARGET = "a target says that it leaves, ends later, another starts"
    PAUSE_TARGET = "a target stands still"
    CUT_TARGET = "connections to a target fail"
    REBORN_TARGET = "a target is killed and starts again under its id"
    COLD_TARGET = "a target is cold and bears a few requests a second"
    EMPTY_DATA_CENTRE = "an operator empties a data centre and takes it back"
    OTHER_WRITER = "another writer leaves entries that can't be read"
    PAUSE_STORE = "the store stands still"
    BUSY_STORE = "the store refuses every call"
    CUT_STORE = "connections of some routers to the store fail"
    MUTE_STORE = "connections of all routers to the store fail"
    LOSE_WRITES = "the store is away and comes back from a copy some seconds old"
    SAY_LEAVING = "a target says in its answers alone that it leaves"
    ASK_REST = "a target turns requests away and asks for rest"


@frozen
class Apart:
    """A fault that is drawn apart: the name of its draw, and how many there are at most."""

    name: str
    most: int


# So the other faults of a seed stay as they were.
APART = {
    ProgramFault.LOSE_WRITES: Apart("losses", 3),
    ProgramFault.SAY_LEAVING: Apart("leavings", 1),
    ProgramFault.ASK_REST: Apart("rests", 2),
}


@frozen(kw_only=True)
class Planned:
    """A fault; ``at`` and ``until`` are seconds after the start, ``choice`` picks who and how."""

    at: float
    until: float
    fault: ProgramFault
    choice: int


def draw_plan(seed: int, *, seconds: float, every: float) -> list[Planned]:
    """Return faults in the order of their times; they may overlap, and all end in time."""
    source = random.Random(seed)
    plan = []
    at = every
    while at < seconds - every:
        until = min(at + source.uniform(0.3, 4.0), seconds)
        fault = source.choice([one for one in ProgramFault if one not in APART])
        plan.append(Planned(at=at, until=until, fault=fault, choice=source.randrange(2**16)))
        at += every * source.uniform(0.3, 1.7)
    for fault, apart in APART.items():
        plan += _draw_apart(fault, apart, seed, seconds=seconds, every=every)
    return sorted(plan, key=lambda planned: planned.at)


def _draw_apart(
    fault: ProgramFault, apart: Apart, seed: int, *, seconds: float, every: float
) -> list[Planned]:
    source = random.Random(f"{apart.name} {seed}")
    drawn = []
    for _ in range(source.randint(1, apart.most)):
        at = source.uniform(every, max(every, seconds - 4 * every))
        until = at + source.uniform(0.2, 2.0)
        drawn.append(Planned(at=at, until=until, fault=fault, choice=source.randrange(2**16)))
    return drawn
