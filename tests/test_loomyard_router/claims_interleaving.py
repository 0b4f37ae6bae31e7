"""Drawn interleavings of routers, appends, pauses and deaths over one claim stream."""

from __future__ import annotations

import gevent
from attrs import define, evolve, field
from gevent.event import AsyncResult
from result import Err, Ok

from loomyard.errors import Executed, Fault, ResultCode
from loomyard_router.claims.keeper import ClaimKey
from loomyard_router.claims.log_claims import make_log_claims
from loomyard_router.members.membership import MemberState
from test_loomyard_router.claims_fleet import ClaimsFleet, ClockedLog, key, settle

FATES = ("ok", "ok", "ok", "lose", "refuse", "drop", "late", "double")
# How often each action is drawn, relative to the others.
WEIGHTS = {"fate": 8, "go_on": 8, "arrive_request": 3, "advance": 5, "late": 3}
ROUTERS = ("a", "b", "c")
PLAIN_STEPS = (0.1, 1.0, 6.0, 20.0)
TIMED_STEPS = (0.1, 1.0, 6.0, 70.0, 600.0)
TURNS = 12


class SteppedLog(ClockedLog):
    """A log whose appends wait until their fate is drawn."""

    def __init__(self, clock) -> None:
        super().__init__(clock)
        self.waiting: list[AsyncResult] = []
        self.late: list[tuple[str, bytes]] = []

    def append(self, stream, payload):
        fate = AsyncResult()
        self.waiting.append(fate)
        match fate.get():
            case "refuse":
                return Err(Fault(code=ResultCode.LOG_UNAVAILABLE, detail=""))
            case "drop":
                return Err(_lost())
            case "late":
                self.late.append((stream, payload))
                return Err(_lost())
            case "lose":
                super().append(stream, payload)
                return Err(_lost())
            case "double":
                super().append(stream, payload)
        return super().append(stream, payload)

    def arrive(self, number: int) -> None:
        super().append(*self.late.pop(number))


@define(eq=False)
class Caller:
    """A request on its way through a router, stopped at a step."""

    router: str
    task: gevent.Greenlet | None = None
    gate: AsyncResult | None = None
    step: str = ""

    def pause(self, step: str) -> bool:
        self.step = step
        self.gate = AsyncResult()
        return self.gate.get()


@define(eq=False)
class Interleaving:
    """Apply drawn actions; ``draw`` picks one of a list."""

    timed: bool
    make: object = make_log_claims
    fleet: ClaimsFleet = field(factory=ClaimsFleet)
    callers: list[Caller] = field(factory=list)
    outcomes: list[bytes] = field(factory=list)
    is_cut: bool = False
    wanted: ClaimKey = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.fleet.log = SteppedLog(self.fleet.clock)
        self.wanted = key(issued_at=self.fleet.clock.wall() if self.timed else None)
        self.fleet.start(*ROUTERS, make=self.make)

    def actions(self) -> list[tuple]:
        """Return what can happen next."""
        fleet = self.fleet
        can = [("arrive_request", name) for name in fleet.keepers]
        can += [("go_on", c) for c in self.callers if c.gate is not None]
        can += [("give_up", c) for c in self.callers if c.gate is not None and c.step == "begun"]
        can += [("fate", n, fate) for n in range(len(fleet.log.waiting)) for fate in FATES]
        can += [("late", n) for n in range(len(fleet.log.late))]
        can += [("advance", s) for s in (TIMED_STEPS if self.timed else PLAIN_STEPS)]
        can += [("kill", name) for name in fleet.keepers]
        can += [("restart", name) for name in ROUTERS if name not in fleet.keepers]
        can += [("doubt", name) for name in ROUTERS]
        return [*can, ("heal",) if self.is_cut else ("cut",), ("toggle_log",)]

    def apply(self, action: tuple) -> None:
        """Do one action and let the tasks run."""
        getattr(self, f"_{action[0]}")(*action[1:])
        settle(TURNS)

    def violations(self) -> list[str]:
        """Return what the target and the callers saw that must not be."""
        found = [f"{name} ran {n} times" for name, n in self.fleet.sends.items() if n > 1]
        return found + [f"an answer {body!r}" for body in self.outcomes if body != b"1"]

    def stop(self) -> None:
        gevent.killall([c.task for c in self.callers], block=False)
        self.fleet.stop()

    def _arrive_request(self, name: str) -> None:
        caller = Caller(name)
        caller.task = gevent.spawn(self._serve, caller, self.fleet.keepers[name])
        self.callers.append(caller)

    def _serve(self, caller: Caller, keeper) -> None:
        match self.fleet.serve(keeper, self.wanted, caller.pause):
            case Ok(outcome):
                self.outcomes.append(outcome.body)

    def _go_on(self, caller: Caller) -> None:
        gate, caller.gate = caller.gate, None
        gate.set(True)

    def _give_up(self, caller: Caller) -> None:
        gate, caller.gate = caller.gate, None
        gate.set(False)

    def _fate(self, number: int, fate: str) -> None:
        self.fleet.log.waiting.pop(number).set(fate)

    def _late(self, number: int) -> None:
        self.fleet.log.arrive(number)

    def _advance(self, seconds: float) -> None:
        self.fleet.clock.advance(seconds)

    def _kill(self, name: str) -> None:
        for caller in [c for c in self.callers if c.router == name]:
            caller.task.kill(block=False)
            self.callers.remove(caller)
        self.fleet.kill(name)

    def _restart(self, name: str) -> None:
        self.fleet.restart(name, self.make)

    def _doubt(self, name: str) -> None:
        """Believe wrongly that a router is dead, or no longer."""
        member = self.fleet.members[name]
        dead = member.state is MemberState.DEAD
        state = MemberState.ALIVE if dead else MemberState.DEAD
        self.fleet.members[name] = evolve(member, state=state)
        for keeper in self.fleet.keepers.values():
            keeper._hosting._assign()

    def _cut(self) -> None:
        self.is_cut = True
        self.fleet.network.cut({"a"}, {"b", "c"})

    def _heal(self) -> None:
        self.is_cut = False
        self.fleet.network.heal()

    def _toggle_log(self) -> None:
        self.fleet.log.down = not self.fleet.log.down


def _lost() -> Fault:
    return Fault(code=ResultCode.LOG_ANSWER_LOST, detail="", executed=Executed.UNKNOWN)
