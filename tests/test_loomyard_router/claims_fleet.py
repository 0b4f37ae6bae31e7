"""Claim coordinators that share one log, one network and one target that counts requests."""

from __future__ import annotations

from collections import Counter

import gevent
from attrs import define, field
from result import Err, Ok

from loomyard.errors import Fault, ResultCode
from loomyard_router.claims.claim_coordinator import Claim, ClaimKey, RecordedOutcome
from loomyard_router.claims.log_claims import LogClaims, make_log_claims
from loomyard_router.members.membership import Member, MemberState
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.log_service import MemoryLog
from loomyard_standins.memory_network import MemoryNetwork

WINDOW = 1000.0
TIMEOUT = 10.0
SETTLE_TURNS = 60  # yields after which no task of the fleet is runnable any more


def key(name: str = "k", fingerprint: bytes = b"f", issued_at: float | None = None) -> ClaimKey:
    return ClaimKey(account="kiosk", key=name, fingerprint=fingerprint, issued_at=issued_at)


def settle(turns: int = SETTLE_TURNS) -> None:
    """Run all tasks until they wait."""
    for _ in range(turns):
        gevent.sleep(0)


class ClockedLog(MemoryLog):
    """A log whose long polls time out by a clock that tests advance."""

    def __init__(self, clock: FakeClock) -> None:
        super().__init__()
        self._clock = clock

    def _await_growth(self, stream, offset, wait):
        until = self._clock.now() + wait
        while offset >= self.end(stream) and self._clock.now() < until:
            gevent.wait([self._grown, self._clock._moved], count=1)


class SharedMembership:
    """Membership of one router, on a dictionary of members that tests change."""

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
    """Routers by name; ``sends`` counts the requests that reached the target, by key."""

    clock: FakeClock = field(factory=FakeClock)
    log: MemoryLog = field(init=False)
    network: MemoryNetwork = field(factory=MemoryNetwork)
    members: dict[str, Member] = field(factory=dict)
    coordinators: dict[str, LogClaims] = field(factory=dict)
    sends: Counter[str] = field(factory=Counter)
    incarnations: int = 0

    def __attrs_post_init__(self) -> None:
        self.log = ClockedLog(self.clock)

    def join(self, name: str, make=make_log_claims) -> LogClaims:
        """Make the coordinator of a new incarnation of a router, without state."""
        self.incarnations += 1
        own = Member(name=name, incarnation=self.incarnations, address="", data_centre="")
        self.members[name] = own
        self.coordinators[name] = coordinator = make(
            log=self.log,
            clock=self.clock,
            members=SharedMembership(own, self.members),
            peers=self.network.join(own),
            window=WINDOW,
        )
        return coordinator

    def start(self, *names: str, make=make_log_claims) -> list[LogClaims]:
        """Start routers that all have each other as live members."""
        coordinators = [self.join(name, make) for name in names]
        for coordinator in coordinators:
            coordinator.start()
        settle()
        return coordinators

    def restart(self, name: str, make=make_log_claims) -> LogClaims:
        """Start a router again, without state, and notify the others."""
        coordinator = self.join(name, make)
        coordinator.start()
        for other in self.coordinators.values():
            other._hosting._update_hosts()
        settle()
        return coordinator

    def kill(self, name: str) -> None:
        """Crash a router; the others see it as dead."""
        coordinator = self.coordinators.pop(name)
        gevent.killall(list(coordinator._settler._tasks.values()))
        coordinator._hosting.stop()
        self.network.leave(name)
        member = self.members[name]
        self.members[name] = Member(
            name=name,
            incarnation=member.incarnation,
            address="",
            data_centre="",
            state=MemberState.DEAD,
        )
        for other in self.coordinators.values():
            other._hosting._update_hosts()
        settle()

    def stop(self) -> None:
        for coordinator in self.coordinators.values():
            gevent.killall(list(coordinator._settler._tasks.values()))
            coordinator._hosting.stop()

    def send(self, claim: Claim) -> RecordedOutcome:
        self.sends[claim.key.key] += 1
        number = self.sends[claim.key.key]
        return RecordedOutcome(status=200, content_type="text/plain", body=b"%d" % number)

    def serve(self, coordinator: LogClaims, claim_key: ClaimKey, pause=lambda step: True):
        """Run the steps of a request: claim, begin, send, finish.

        ``pause`` is called between the steps; after ``begun`` its result is whether to send.
        """
        deadline = self.clock.now() + TIMEOUT
        while True:
            claimed = coordinator.claim(claim_key, deadline)
            if claimed.is_err() or isinstance(claimed.unwrap(), RecordedOutcome):
                return claimed
            claim = claimed.unwrap()
            pause("claimed")
            match coordinator.begin(claim, deadline):
                case Err(fault) if fault.code is ResultCode.KEY_IN_PROGRESS:
                    continue
                case Err(fault):
                    return Err(fault)
            if not pause("begun"):
                coordinator.abandon(claim)
                return Err(Fault(code=ResultCode.TARGET_UNREACHABLE, detail=""))
            outcome = self.send(claim)
            pause("sent")
            coordinator.finish(claim, outcome)
            return Ok(outcome)

    def pass_time(self, seconds: float = 1.0) -> None:
        """Advance the clock and run all tasks."""
        self.clock.advance(seconds)
        settle()
        for _ in range(4):
            self.clock.advance(0.1)
            settle()

    def run(self, function, *arguments, seconds: float = 60.0):
        """Run a function while the clock advances; return its result."""
        task = gevent.spawn(function, *arguments)
        until = self.clock.now() + seconds
        settle()
        while not task.ready() and self.clock.now() < until:
            self.clock.advance(0.05)
            settle()
        return task.get(block=False)
