"""Random interleavings of requests, appends, pauses, crashes and partitions over one claim key."""

from __future__ import annotations

import gevent
from attrs import define, evolve, field
from gevent.event import AsyncResult
from result import Err, Ok

from loomyard.errors import Executed, Fault, ResultCode
from loomyard_router.claims.claim_coordinator import ClaimKey
from loomyard_router.claims.log_claims import make_log_claims
from loomyard_router.members.membership import MemberState
from test_loomyard_router.claims_fleet import ClaimsFleet, ClockedLog, key, settle

# What happens to an append: ``lose`` appends but loses the answer, ``drop`` appends nothing and
# loses the answer, ``late`` likewise but appends later, ``double`` appends twice.
FATES = ("ok", "ok", "ok", "lose", "refuse", "drop", "late", "double")
# Relative probability of each action; 1 where not listed.
WEIGHTS = {"fate": 8, "go_on": 8, "arrive_request": 3, "advance": 5, "late": 3}
ROUTERS = ("a", "b", "c")
PLAIN_STEPS = (0.1, 1.0, 6.0, 20.0)
TIMED_STEPS = (0.1, 1.0, 6.0, 70.0, 600.0)
TURNS = 12


class SteppedLog(ClockedLog):
    """A log whose appends wait for a fate: one of ``FATES``."""

    def __init__(self, clock) -> None:
        super().__init__(clock)
        self.pending_appends: list[AsyncResult] = []
        self.late: list[tuple[str, bytes]] = []

    def append(self, stream, payload):
        fate = AsyncResult()
        self.pending_appends.append(fate)
        match fate.get():
            case "refuse":
                return Err(Fault(code=ResultCode.LOG_UNAVAILABLE, detail=""))
            case "drop":
                return Err(_make_answer_lost())
            case "late":
                self.late.append((stream, payload))
                return Err(_make_answer_lost())
            case "lose":
                super().append(stream, payload)
                return Err(_make_answer_lost())
            case "double":
                super().append(stream, payload)
        return super().append(stream, payload)

    def append_late(self, number: int) -> None:
        super().append(*self.late.pop(number))


@define(eq=False)
class Caller:
    """A request that is served by a router and paused after each step."""

    router: str
    task: gevent.Greenlet | None = None
    resumed: AsyncResult | None = None
    step: str = ""

    def pause(self, step: str) -> bool:
        self.step = step
        self.resumed = AsyncResult()
        return self.resumed.get()


@define(eq=False)
class Interleaving:
    """A fleet on which actions are applied one by one; ``timed`` keys carry a time."""

    timed: bool
    make: object = make_log_claims
    fleet: ClaimsFleet = field(factory=ClaimsFleet)
    callers: list[Caller] = field(factory=list)
    outcomes: list[bytes] = field(factory=list)
    is_partitioned: bool = False
    claim_key: ClaimKey = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.fleet.log = SteppedLog(self.fleet.clock)
        self.claim_key = key(issued_at=self.fleet.clock.wall() if self.timed else None)
        self.fleet.start(*ROUTERS, make=self.make)

    def actions(self) -> list[tuple]:
        """Return the actions that are possible now: each the name of a method and its arguments."""
        fleet = self.fleet
        possible = [("arrive_request", name) for name in fleet.coordinators]
        possible += [("go_on", c) for c in self.callers if c.resumed is not None]
        possible += [
            ("give_up", c) for c in self.callers if c.resumed is not None and c.step == "begun"
        ]
        possible += [
            ("fate", n, fate) for n in range(len(fleet.log.pending_appends)) for fate in FATES
        ]
        possible += [("late", n) for n in range(len(fleet.log.late))]
        possible += [("advance", s) for s in (TIMED_STEPS if self.timed else PLAIN_STEPS)]
        possible += [("kill", name) for name in fleet.coordinators]
        possible += [("restart", name) for name in ROUTERS if name not in fleet.coordinators]
        possible += [("doubt", name) for name in ROUTERS]
        return [*possible, ("heal",) if self.is_partitioned else ("cut",), ("toggle_log",)]

    def apply(self, action: tuple) -> None:
        """Apply an action and run the tasks."""
        getattr(self, f"_{action[0]}")(*action[1:])
        settle(TURNS)

    def violations(self) -> list[str]:
        """Return the second sends, and the answers other than that of the first send."""
        found = [f"{name} ran {n} times" for name, n in self.fleet.sends.items() if n > 1]
        return found + [f"an answer {body!r}" for body in self.outcomes if body != b"1"]

    def stop(self) -> None:
        gevent.killall([c.task for c in self.callers], block=False)
        self.fleet.stop()

    def _arrive_request(self, name: str) -> None:
        caller = Caller(name)
        caller.task = gevent.spawn(self._serve, caller, self.fleet.coordinators[name])
        self.callers.append(caller)

    def _serve(self, caller: Caller, coordinator) -> None:
        match self.fleet.serve(coordinator, self.claim_key, caller.pause):
            case Ok(outcome):
                self.outcomes.append(outcome.body)

    def _go_on(self, caller: Caller) -> None:
        """Resume a caller at its next step."""
        resumed, caller.resumed = caller.resumed, None
        resumed.set(True)

    def _give_up(self, caller: Caller) -> None:
        """Resume a caller that abandons its claim instead of sending."""
        resumed, caller.resumed = caller.resumed, None
        resumed.set(False)

    def _fate(self, number: int, fate: str) -> None:
        self.fleet.log.pending_appends.pop(number).set(fate)

    def _late(self, number: int) -> None:
        self.fleet.log.append_late(number)

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
        """Let all routers falsely see a router as dead, or as alive again."""
        member = self.fleet.members[name]
        dead = member.state is MemberState.DEAD
        state = MemberState.ALIVE if dead else MemberState.DEAD
        self.fleet.members[name] = evolve(member, state=state)
        for coordinator in self.fleet.coordinators.values():
            coordinator._hosting._update_hosts()

    def _cut(self) -> None:
        self.is_partitioned = True
        self.fleet.network.cut({"a"}, {"b", "c"})

    def _heal(self) -> None:
        self.is_partitioned = False
        self.fleet.network.heal()

    def _toggle_log(self) -> None:
        self.fleet.log.down = not self.fleet.log.down


def _make_answer_lost() -> Fault:
    return Fault(code=ResultCode.LOG_ANSWER_LOST, detail="", executed=Executed.UNKNOWN)
