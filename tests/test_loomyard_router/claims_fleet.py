"""Routers that share one log, one network and one target that counts what it ran."""

from __future__ import annotations

from collections import Counter

import gevent
from attrs import define, field
from result import Err, Ok

from loomyard.errors import Fault, ResultCode
from loomyard_router.claims.keeper import Claim, ClaimKey, RecordedOutcome
from loomyard_router.claims.log_claims import LogClaims, make_log_claims
from loomyard_router.members.membership import Member, MemberState
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.log_service import MemoryLog
from loomyard_standins.memory_network import MemoryNetwork

WINDOW = 1000.0
TIMEOUT = 10.0
SETTLE_TURNS = 60


def key(name: str = "k", fingerprint: bytes = b"f", issued_at: float | None = None) -> ClaimKey:
    return ClaimKey(account="kiosk", key=name, fingerprint=fingerprint, issued_at=issued_at)


def settle(turns: int = SETTLE_TURNS) -> None:
    """Let all tasks run until they wait."""
    for _ in range(turns):
        gevent.sleep(0)


class ClockedLog(MemoryLog):
    """A log whose waiting reads end by a clock that tests move."""

    def __init__(self, clock: FakeClock) -> None:
        super().__init__()
        self._clock = clock

    def _await_growth(self, stream, offset, wait):
        until = self._clock.now() + wait
        while offset >= self.end(stream) and self._clock.now() < until:
            gevent.wait([self._grown, self._clock._moved], count=1)


class View:
    """The membership as one router sees it."""

    def __init__(self, own: Member, members: dict[str, Member]) -> None:
        self.own = own
        self._members = members

    def live(self):
        live = [m for m in self._members.values() if m.state is not MemberState.DEAD]
        return tuple(sorted(live, key=lambda member: member.name))

    def find(self, name):
        return self._members.get(name)

    def suspect(self, name):
        pass

    def subscribe(self, changed):
        pass


@define(eq=False)
class ClaimsFleet:
    """What ``sends`` counts is what the target saw."""

    clock: FakeClock = field(factory=FakeClock)
    log: MemoryLog = field(init=False)
    network: MemoryNetwork = field(factory=MemoryNetwork)
    members: dict[str, Member] = field(factory=dict)
    keepers: dict[str, LogClaims] = field(factory=dict)
    sends: Counter[str] = field(factory=Counter)
    incarnations: int = 0

    def __attrs_post_init__(self) -> None:
        self.log = ClockedLog(self.clock)

    def join(self, name: str, make=make_log_claims) -> LogClaims:
        """Start a router, or start it again empty."""
        self.incarnations += 1
        own = Member(name=name, incarnation=self.incarnations, address="", data_centre="")
        self.members[name] = own
        self.keepers[name] = keeper = make(
            log=self.log,
            clock=self.clock,
            members=View(own, self.members),
            peers=self.network.join(own),
            window=WINDOW,
        )
        return keeper

    def start(self, *names: str, make=make_log_claims) -> list[LogClaims]:
        """Start routers that know each other."""
        keepers = [self.join(name, make) for name in names]
        for keeper in keepers:
            keeper.start()
        settle()
        return keepers

    def restart(self, name: str, make=make_log_claims) -> LogClaims:
        """Start a router again, empty."""
        keeper = self.join(name, make)
        keeper.start()
        for other in self.keepers.values():
            other._hosting._assign()
        settle()
        return keeper

    def kill(self, name: str) -> None:
        """End a router at once, seen by all."""
        keeper = self.keepers.pop(name)
        gevent.killall(list(keeper._settling._tasks.values()))
        keeper._hosting.stop()
        self.network.leave(name)
        member = self.members[name]
        self.members[name] = Member(
            name=name,
            incarnation=member.incarnation,
            address="",
            data_centre="",
            state=MemberState.DEAD,
        )
        for other in self.keepers.values():
            other._hosting._assign()
        settle()

    def stop(self) -> None:
        for keeper in self.keepers.values():
            gevent.killall(list(keeper._settling._tasks.values()))
            keeper._hosting.stop()

    def send(self, claim: Claim) -> RecordedOutcome:
        self.sends[claim.key.key] += 1
        number = self.sends[claim.key.key]
        return RecordedOutcome(status=200, content_type="text/plain", body=b"%d" % number)

    def serve(self, keeper: LogClaims, wanted: ClaimKey, pause=lambda step: True):
        """Do what the serving of a request does; ``pause`` is called between the steps."""
        deadline = self.clock.now() + TIMEOUT
        while True:
            claimed = keeper.claim(wanted, deadline)
            if claimed.is_err() or isinstance(claimed.unwrap(), RecordedOutcome):
                return claimed
            claim = claimed.unwrap()
            pause("claimed")
            match keeper.begin(claim, deadline):
                case Err(fault) if fault.code is ResultCode.KEY_IN_PROGRESS:
                    continue
                case Err(fault):
                    return Err(fault)
            if not pause("begun"):
                keeper.abandon(claim)
                return Err(Fault(code=ResultCode.TARGET_UNREACHABLE, detail=""))
            outcome = self.send(claim)
            pause("sent")
            keeper.finish(claim, outcome)
            return Ok(outcome)

    def pass_time(self, seconds: float = 1.0) -> None:
        """Let time pass and all tasks run."""
        self.clock.advance(seconds)
        settle()
        for _ in range(4):
            self.clock.advance(0.1)
            settle()

    def run(self, task_or_call, *arguments, seconds: float = 60.0):
        """Run to the end while the clock moves; return what it returned."""
        task = gevent.spawn(task_or_call, *arguments)
        until = self.clock.now() + seconds
        settle()
        while not task.ready() and self.clock.now() < until:
            self.clock.advance(0.05)
            settle()
        return task.get(block=False)
