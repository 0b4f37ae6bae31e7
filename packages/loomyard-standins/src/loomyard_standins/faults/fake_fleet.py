"""Fleet of routers in one process, with fakes at every interface."""

from __future__ import annotations

import math
import random
from collections import deque
from contextlib import ExitStack, suppress
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import gevent

from loomyard_router import application as application_module
from loomyard_router.application import make_application
from loomyard_router.components import Platform
from loomyard_router.settings import Settings
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.faults.answer_fault import AnswerFault
from loomyard_standins.faults.checkers import IN_FORCE_SECONDS, LEAVING_SECONDS
from loomyard_standins.faults.fake_caller_server import FakeCallerServer
from loomyard_standins.faults.fake_callers import FakeCallers
from loomyard_standins.faults.fake_engine import FakeEngine
from loomyard_standins.faults.fake_peer_network import FakePeerNetwork, peer_address
from loomyard_standins.faults.fake_publisher import FakePublisher
from loomyard_standins.faults.fake_router import FakeRouter
from loomyard_standins.faults.fake_target import FakeTarget
from loomyard_standins.faults.fault_points import FaultPoints, RouterKilled
from loomyard_standins.faults.fleet_objects import make_objects
from loomyard_standins.faults.instrumented_platform import (
    InstrumentedClock,
    InstrumentedEngine,
    InstrumentedLog,
    InstrumentedVmList,
)
from loomyard_standins.faults.observations import (
    EndedPause,
    Observations,
    Partition,
)
from loomyard_standins.faults.seeded_random import SeededRandom
from loomyard_standins.faults.short_times import SHORT_RETENTION_SECONDS, SHORT_TIMES
from loomyard_standins.log_service import MemoryLog
from loomyard_standins.vm_list import MemoryVmList
from loomyard_standins.weight_store import LimitedWeightStore

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from loomyard.external.engine import Engine

    App = Callable[..., Any]

STEP_SECONDS = 0.2
LOOP_PASSES = 10
LOAD_INTERVAL = 1.0
MILLISECOND = 0.001
SEED = 1
RETENTION = 86400.0
JOIN_SECONDS = 1.5
OPEN_FAULTS = frozenset([AnswerFault.GONE_DURING, AnswerFault.GONE_AFTER, AnswerFault.DOUBLED])


class FakeFleet:
    """Routers over fakes and one clock that tests advance.

    ``wrap_engine`` may put a planted bug between each router and its targets, ``wrap_app``
    between each router and its callers. ``spare`` names targets that are not configured.
    ``short_times`` shortens the timings of orders and snapshots in proportion.
    """

    def __init__(
        self,
        *,
        routers: int = 3,
        policy: str = "fleet",
        wrap_engine: Callable[[Engine], Engine] = lambda engine: engine,
        wrap_app: Callable[[App], App] = lambda app: app,
        checks_fencing: bool = True,
        spare: Collection[str] = (),
        short_times: bool = False,
    ) -> None:
        self.clock = FakeClock()
        random.seed(SEED)
        self.observations = Observations()
        self.faults: deque[AnswerFault] = deque()
        self.log = MemoryLog()
        self.vm_list = MemoryVmList()
        self.network = FakePeerNetwork()
        self.weight_store = LimitedWeightStore(self.clock, interval=LOAD_INTERVAL)
        self.engines = [
            self._make_target(f"engine-{n}", checks_fencing=checks_fencing) for n in range(2)
        ]
        self.records = [self._make_target(f"records-{n}", plain=True) for n in range(2)]
        self.targets = {target.name: target for target in [*self.engines, *self.records]}
        self.routers: dict[str, FakeRouter] = {}
        self.longest_outage = 0.0
        self._patches = ExitStack()
        self._wrap_engine = wrap_engine
        self._policy = policy
        self._retention = SHORT_RETENTION_SECONDS if short_times else RETENTION
        if short_times:
            self.shorten_times()
        self._count = routers
        self._starts = 0
        self._partitioned_at: dict[str, float] = {}
        self._paused_at: dict[str, float] = {}
        self.publisher = FakePublisher(
            self.clock, self.log, self.routers, self.observations, short_times=short_times
        )
        self.callers = FakeCallers(self.clock, self.routers, self.observations, wrap_app=wrap_app)
        configured = [target for name, target in self.targets.items() if name not in spare]
        self.publisher.publish(make_objects(configured))
        for position in range(routers):
            self.start(f"router-{position}")
        self.run(JOIN_SECONDS)

    def start(self, name: str) -> FakeRouter:
        """Start a router without state; it replaces an earlier one of the same name."""
        points = FaultPoints()
        engine = self._wrap_engine(FakeEngine(list(self.targets.values())))
        self._starts += 1
        clock = InstrumentedClock(self.clock, points, self._starts * MILLISECOND)
        platform = Platform(
            clock=clock,
            log=InstrumentedLog(self.log, self.clock, points),
            engine=InstrumentedEngine(engine, points),
            vm_list=InstrumentedVmList(self.vm_list, points),
            weight_store=self.weight_store,
        )
        settings = Settings(
            name=name,
            listen="127.0.0.1:0",
            log_service="127.0.0.1:1",
            policy=self._policy,
            position=int(name.rpartition("-")[2]),
            routers=self._count,
            peer_listen=peer_address(name),
            peers=tuple(peer_address(f"router-{n}") for n in range(self._count)),
            fleet_secret=("fake",),
            log_retention=self._retention,
        )
        connected = self.network.connect(name, clock, points)
        seeded = patch.object(random, "Random", SeededRandom)
        with connected, seeded, patch.object(application_module, "CallerServer", FakeCallerServer):
            application = make_application(settings, platform)
        router = FakeRouter(name, application, points)
        self.routers[name] = router
        router.application.start()
        return router

    def kill(self, name: str) -> None:
        """Kill a router; the connections of its callers break."""
        router = self.routers[name]
        self._mark_not_reachable(name)
        if name not in self.observations.exited:
            self.observations.stopped.pop(name, None)
        self._discard_unshared_leaving(name)
        for record in self.observations.calls:
            record.router_died |= record.router == name and record.ended is None
        router.points.kill()
        self.network.leave(name)
        with suppress(RouterKilled):
            router.application.stop()
        gevent.killall([call for call in router.calls if call is not gevent.getcurrent()])

    def restart(self, name: str) -> None:
        """Kill a router and start it again without state."""
        self.kill(name)
        self.start(name)

    def pause(self, name: str) -> None:
        """Pause the process of a router."""
        self._mark_not_reachable(name)
        self.routers[name].points.pause()
        self._paused_at[name] = self.clock.now()

    def wake(self, name: str) -> None:
        """Resume a paused router."""
        router = self.routers[name]
        if router.points.paused:
            seconds = self.clock.now() - self._paused_at[name]
            self.observations.ended_pauses.append(
                EndedPause(router=name, at=self.clock.now(), seconds=seconds)
            )
        router.points.wake()

    def drain(self, name: str) -> None:
        """Begin the planned stop of a router."""
        router = self.routers[name]
        if router.points.dead:
            return
        self.observations.stopped.setdefault(name, self.clock.now())
        gevent.spawn(self._drain, router)
        self.run_loop_passes()

    def partition(self, name: str) -> None:
        """Cut a router from the log service and from the other routers."""
        self._mark_not_reachable(name)
        self.routers[name].points.log_unreachable = True
        self._partitioned_at.setdefault(name, self.clock.now())
        self.network.links.cut({name}, set(self.routers) - {name})

    def shorten_times(self) -> None:
        """Shorten the timings of orders and snapshots in proportion, until the fleet is closed."""
        for module, times in SHORT_TIMES.items():
            self._patches.enter_context(patch.multiple(module, **times))

    def heal(self) -> None:
        """Remove every lasting fault and restart dead targets; killed routers stay dead."""
        self.faults.clear()
        self.network.links.heal()
        for name, since in self._partitioned_at.items():
            partition = Partition(router=name, since=since, until=self.clock.now())
            self.observations.partitions.append(partition)
        self._partitioned_at.clear()
        self.log.down = False
        for name, router in self.routers.items():
            self.wake(name)
            router.points.reset()
        for target in self.targets.values():
            target.release()
            if not target.up:
                self.longest_outage = max(self.longest_outage, self.clock.now() - target.died_at)
                target.restart()
        self.vm_list.publish()

    def fail_answer(self, fault: AnswerFault) -> None:
        """Apply a fault to the open answers if it fits them, or else to the next call."""
        if fault in OPEN_FAULTS and any(
            [t.fail_open_answers(fault) for t in self.targets.values()]
        ):
            return
        self.faults.append(fault)

    def run_loop_passes(self, loop_passes: int = LOOP_PASSES) -> None:
        """Run passes of the event loop, so that every runnable task proceeds."""
        for _ in range(loop_passes):
            gevent.sleep(0)

    def run(self, seconds: float) -> None:
        """Advance the clock by some seconds, in steps of ``STEP_SECONDS``."""
        for _ in range(math.ceil(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self.run_loop_passes()

    def run_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Advance the clock until a condition holds, by ``seconds`` at most."""
        until = self.clock.now() + seconds
        while not condition() and self.clock.now() < until:
            self.run(STEP_SECONDS)

    def close(self) -> None:
        """Kill every router and undo the patches."""
        for name in list(self.routers):
            self.kill(name)
        self._patches.close()
        self.run_loop_passes()

    def _drain(self, router: FakeRouter) -> None:
        router.application.drain()
        self.observations.exited.add(router.name)
        router.points.kill()
        self.network.leave(router.name)

    @property
    def live(self) -> list[str]:
        """Return the names of the routers that are neither dead nor stopping."""
        stopping = self.observations.stopped
        return [n for n, r in self.routers.items() if not r.points.dead and n not in stopping]

    def _discard_unshared_leaving(self, name: str) -> None:
        # A notice that only the killed router received may not have reached the others.
        routers = {record.marker: record.router for record in self.observations.calls}
        recent_since = self.clock.now() - LEAVING_SECONDS
        for target, known in list(self.observations.leaving.items()):
            refused = [r for r in self.observations.runs if r.target == target and r.refused]
            if known >= recent_since and refused and routers.get(refused[0].marker) == name:
                del self.observations.leaving[target]

    def exclude_recent_generations(self) -> None:
        """Exclude recently accepted generations from the check that they are in force in time."""
        for name in self.routers:
            self._mark_not_reachable(name)

    def _mark_not_reachable(self, name: str) -> None:
        # A router counts as reachable only if it is so for all of IN_FORCE_SECONDS.
        for generation, (accepted, reachable) in self.observations.generations.items():
            if self.clock.now() <= accepted + IN_FORCE_SECONDS:
                self.observations.generations[generation] = (accepted, reachable - {name})

    def _make_target(self, name: str, **options: bool) -> FakeTarget:
        return FakeTarget(name, self.clock, self.observations, self.faults, **options)
