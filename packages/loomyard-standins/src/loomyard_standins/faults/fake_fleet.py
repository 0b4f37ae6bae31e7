"""Three routers in one process, with fakes at every interface."""

from __future__ import annotations

import json
import math
import random
import secrets
from collections import deque
from contextlib import ExitStack, suppress
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import gevent
from result import Ok

from loomyard.codec import encode
from loomyard.configuration import Change, Put
from loomyard.objects import (
    ClientAccount,
    ConfigObject,
    Metadata,
    Operation,
    Route,
    Service,
    ServiceType,
    Target,
    ref_of,
)
from loomyard_router import application as application_module
from loomyard_router.application import make_application
from loomyard_router.callers.keys import digest_key
from loomyard_router.configuration import snapshot_writer
from loomyard_router.configuration.follower import CONFIG_STREAM
from loomyard_router.configuration.log_snapshots import SNAPSHOT_STREAM
from loomyard_router.orders import (
    order_keeper,
    order_lease_keeper,
    order_planner,
    order_sender,
)
from loomyard_router.parts import Platform
from loomyard_router.settings import Settings
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.faults.answer_fault import AnswerFault
from loomyard_standins.faults.checkers import IN_FORCE_SECONDS
from loomyard_standins.faults.fake_call import (
    HTTP_OK,
    MODEL,
    MODELS_PATH,
    PLAIN,
    fake_key,
    make_environ,
    make_model_call,
    make_plain_call,
    perform,
)
from loomyard_standins.faults.fake_caller_server import FakeCallerServer
from loomyard_standins.faults.fake_engine import FakeEngine
from loomyard_standins.faults.fake_peer_network import FakePeerNetwork, peer_address
from loomyard_standins.faults.fake_router import FakeRouter
from loomyard_standins.faults.fake_target import FakeTarget
from loomyard_standins.faults.fault_points import FaultPoints, RouterKilled
from loomyard_standins.faults.pointed_platform import (
    PointedClock,
    PointedEngine,
    PointedLog,
    PointedVmList,
)
from loomyard_standins.faults.seeded_random import SeededRandom
from loomyard_standins.faults.sightings import CallerSaw, Ending, ModelsSeen, Sightings, Woken
from loomyard_standins.log_service import MemoryLog
from loomyard_standins.vm_list import MemoryVmList
from loomyard_standins.weight_store import LimitedWeightStore

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from types import ModuleType

    from loomyard.platform.engine import Engine

    App = Callable[..., Any]

ACCOUNTS = ("kiosk", "genealogy", "labels")
STEP_SECONDS = 0.2
TURNS = 10
LOAD_INTERVAL = 1.0
MILLISECOND = 0.001
SEED = 1
RETENTION = 86400.0
HASTENED_RETENTION = 8.0
JOIN_SECONDS = 1.5
GENERATION_PREFIX = "generation-"
WATCHER = "kiosk"
HASTENED: dict[ModuleType, dict[str, float]] = {
    snapshot_writer: {"CHECK_SECONDS": 1.0},
    order_keeper: {"STEP_SECONDS": 0.2},
    order_lease_keeper: {"TERM": 2.0, "RENEW_AFTER": 0.6, "MARGIN": 0.4, "TAKEOVER_AFTER": 2.5},
    order_planner: {"BACKLOG_SECONDS": 1.0, "IDLE_SECONDS": 1.0, "DWELL_SECONDS": 2.0},
    order_sender: {"ORDER_SECONDS": 0.6, "LOAD_SECONDS": 2.0, "RETRY_SECONDS": 0.4},
}
YOUNG_SECONDS = 4.0
OPEN_FAULTS = frozenset([AnswerFault.GONE_DURING, AnswerFault.GONE_AFTER, AnswerFault.DOUBLED])


class FakeFleet:
    """Routers with fakes at their interfaces and one clock that tests move.

    ``wrap_engine`` may put a planted bug between each router and its targets, ``wrap_app``
    between each router and its callers. Targets that are ``spare`` are not configured yet.
    ``hastened`` shortens the times of orders and snapshots in proportion.
    """

    LOADABLE = "translator"

    def __init__(
        self,
        *,
        routers: int = 3,
        policy: str = "fleet",
        wrap_engine: Callable[[Engine], Engine] = lambda engine: engine,
        wrap_app: Callable[[App], App] = lambda app: app,
        checks_fencing: bool = True,
        spare: Collection[str] = (),
        hastened: bool = False,
    ) -> None:
        self.clock = FakeClock()
        random.seed(SEED)
        self.sightings = Sightings()
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
        self.generation = 0
        self._ends: list[tuple[float, int]] = []
        self.longest_death = 0.0
        self._patches = ExitStack()
        self._wrap_engine = wrap_engine
        self._wrap_app = wrap_app
        self._policy = policy
        self._retention = HASTENED_RETENTION if hastened else RETENTION
        if hastened:
            self.hasten()
        self._count = routers
        self._starts = 0
        self._paused_at: dict[str, float] = {}
        self.publish(self._objects(spare))
        for position in range(routers):
            self.start(f"router-{position}")
        self.run(JOIN_SECONDS)

    def start(self, name: str) -> FakeRouter:
        """Start a router, empty; a start of the same name replaces it."""
        points = FaultPoints()
        engine = self._wrap_engine(FakeEngine(list(self.targets.values())))
        self._starts += 1
        clock = PointedClock(self.clock, points, self._starts * MILLISECOND)
        platform = Platform(
            clock=clock,
            log=PointedLog(self.log, self.clock, points),
            engine=PointedEngine(engine, points),
            vm_list=PointedVmList(self.vm_list, points),
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
        """End a router at once; its callers see their connections break."""
        router = self.routers[name]
        self._forget_reachable(name)
        if name not in self.sightings.exited:
            self.sightings.stopped.pop(name, None)
        for saw in self.sightings.callers:
            saw.router_died |= saw.router == name and saw.ended is None
        router.points.kill()
        self.network.leave(name)
        with suppress(RouterKilled):
            router.application.stop()
        gevent.killall([call for call in router.calls if call is not gevent.getcurrent()])

    def restart(self, name: str) -> None:
        """Kill a router and start it again, empty."""
        self.kill(name)
        self.start(name)

    def pause(self, name: str) -> None:
        """Freeze a router."""
        self._forget_reachable(name)
        self.routers[name].points.pause()
        self._paused_at[name] = self.clock.now()

    def wake(self, name: str) -> None:
        """Let a frozen router go on."""
        router = self.routers[name]
        if router.points.paused:
            slept = self.clock.now() - self._paused_at[name]
            self.sightings.woken.append(Woken(router=name, at=self.clock.now(), slept=slept))
        router.points.wake()

    def drain(self, name: str) -> None:
        """Begin the planned stop of a router."""
        router = self.routers[name]
        if router.points.dead:
            return
        self.sightings.stopped.setdefault(name, self.clock.now())
        gevent.spawn(self._drain, router)
        self.turn()

    def cut(self, name: str) -> None:
        """Cut a router from the log service and from the other routers."""
        self._forget_reachable(name)
        self.routers[name].points.log_cut = True
        self.network.links.cut({name}, set(self.routers) - {name})

    def hasten(self) -> None:
        """Shorten the times of orders and snapshots in proportion, until the fleet is closed."""
        for module, times in HASTENED.items():
            self._patches.enter_context(patch.multiple(module, **times))

    def heal(self) -> None:
        """Mend every lasting fault that is not a death."""
        self.faults.clear()
        self.network.links.heal()
        self.log.down = False
        for name, router in self.routers.items():
            self.wake(name)
            router.points.mend()
        for target in self.targets.values():
            target.release()
            if not target.up:
                self.longest_death = max(self.longest_death, self.clock.now() - target.died_at)
                target.revive()
        self.vm_list.publish()

    def fail_answer(self, fault: AnswerFault) -> None:
        """Fail an answer that is on its way, where the fault fits it, or else the next one."""
        if fault in OPEN_FAULTS and any([t.fail_open(fault) for t in self.targets.values()]):
            return
        self.faults.append(fault)

    def trim_log(self) -> None:
        """Forget all records but those younger than the retention that routers rely on.

        Hastened, that leaves claims, whose window is shorter, snapshots, and what was published
        in the last seconds or is in no snapshot yet.
        """
        hastened = self._retention == HASTENED_RETENTION
        for stream in self.log.streams:
            if not hastened:
                self.log.trim(stream, self.log.end(stream))
            elif stream == CONFIG_STREAM and SNAPSHOT_STREAM in self.log.streams:
                self.log.trim(stream, self._old_end())

    def _old_end(self) -> int:
        young = self.clock.now() - YOUNG_SECONDS
        return max((end for at, end in self._ends if at <= young), default=0)

    def turn(self, turns: int = TURNS) -> None:
        """Let every task run that can."""
        for _ in range(turns):
            gevent.sleep(0)

    def run(self, seconds: float) -> None:
        """Move the clock in small steps."""
        for _ in range(math.ceil(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self.turn()

    def run_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Move the clock until a condition holds, for some seconds at most."""
        until = self.clock.now() + seconds
        while not condition() and self.clock.now() < until:
            self.run(STEP_SECONDS)

    @property
    def calls_ended(self) -> bool:
        return all(saw.ended is not None for saw in self.sightings.callers)

    @property
    def probes_ended(self) -> bool:
        return all(saw.ended is not None for saw in self.sightings.callers if saw.probe)

    def call_model(
        self,
        marker: str,
        router: str,
        *,
        tokens: int = 6,
        stream: bool = True,
        model: str = MODEL,
    ) -> CallerSaw:
        """Start a call of the model service."""
        saw, environ = make_model_call(
            marker, router, self.clock.now(), tokens=tokens, stream=stream, model=model
        )
        return self._call(saw, environ)

    def call_plain(
        self, marker: str, router: str, *, idempotent: bool = False, key: str | None = None
    ) -> CallerSaw:
        """Start a call of the plain service."""
        saw, environ = make_plain_call(
            marker, router, self.clock.now(), idempotent=idempotent, key=key
        )
        return self._call(saw, environ)

    def target_object(self, target: FakeTarget) -> Target:
        """Return the object that configures a target."""
        return Target(
            metadata=Metadata(
                name=target.name, labels={"kind": "plain" if target.plain else "engine"}
            ),
            url=target.url,
            services=[PLAIN if target.plain else MODEL],
            loadable=[] if target.plain else [self.LOADABLE],
            slots=2,
            vm=target.name,
            checks_fencing=target.checks_fencing,
        )

    def publish(self, objects: list[ConfigObject]) -> bool:
        """Append a change of new objects; false where the log service refuses."""
        return self._append([Put(object=o) for o in objects])

    def replace(self, item: ConfigObject) -> bool:
        """Append a change of an object that is configured."""
        follower = next(iter(self.routers.values())).application.parts.follower
        based_on = follower.state.get(ref_of(item)).version
        return self._append([Put(object=item, based_on=based_on)])

    def publish_generation(self) -> None:
        """Publish a service whose presence callers can see."""
        self.generation += 1
        name = f"{GENERATION_PREFIX}{self.generation}"
        objects: list[ConfigObject] = [
            Service(metadata=Metadata(name=name)),
            Route(metadata=Metadata(name=name), service=name, targets="kind=engine"),
        ]
        if self.publish(objects):
            reachable = frozenset(
                name
                for name, router in self.routers.items()
                if not (router.points.paused or router.points.log_cut or router.points.dead)
            )
            self.sightings.generations[self.generation] = (self.clock.now(), reachable)

    def publish_race(self) -> None:
        """Publish two changes of which only one can be accepted."""
        for name in ("race-a", "race-b"):
            self.publish(
                [
                    Service(metadata=Metadata(name=name)),
                    Route(metadata=Metadata(name="race"), service=name, targets="kind=engine"),
                ]
            )

    def probe(self) -> None:
        """Call every live router, which must serve."""
        for name, router in self.routers.items():
            if router.points.dead:
                continue
            marker = f"{WATCHER}/probe-{len(self.sightings.callers)}"
            self.call_model(marker, name).probe = True
            self.call_plain(f"{marker}-plain", name, idempotent=True).probe = True

    def watch_models(self, *, final: bool = False) -> None:
        """Let a caller list the models of every router that runs."""
        for name, router in self.routers.items():
            if not (router.points.paused or router.points.dead):
                self.watch_router(name, final=final)

    def watch_router(self, name: str, *, final: bool = False) -> None:
        """Let a caller list the models of a router."""
        environ = make_environ(WATCHER, MODELS_PATH, b"", method="GET")
        now = self.clock.now()
        saw = CallerSaw(marker="", account=WATCHER, router=name, expected="", started=now)
        perform(self.routers[name].server.call, environ, saw, self.clock)
        if saw.ending is not Ending.WHOLE or saw.status != HTTP_OK:
            return
        models = frozenset(model["id"] for model in json.loads(saw.body)["data"])
        numbers = [
            int(model.removeprefix(GENERATION_PREFIX))
            for model in models
            if model.startswith(GENERATION_PREFIX)
        ]
        generation = max(numbers, default=0)
        self.sightings.seen.append(
            ModelsSeen(router=name, at=now, generation=generation, models=models, final=final)
        )

    def close(self) -> None:
        """End every router."""
        for name in list(self.routers):
            self.kill(name)
        self._patches.close()
        self.turn()

    def _drain(self, router: FakeRouter) -> None:
        router.application.drain()
        self.sightings.exited.add(router.name)
        router.points.kill()
        self.network.leave(router.name)

    def _append(self, puts: list[Put]) -> bool:
        change = Change(change_id=secrets.token_hex(8), puts=puts)
        appended = self.log.append(CONFIG_STREAM, encode(change))
        self._ends.append((self.clock.now(), self.log.end(CONFIG_STREAM)))
        return isinstance(appended, Ok)

    @property
    def live(self) -> list[str]:
        """Return the routers that are neither dead nor stopping."""
        stopping = self.sightings.stopped
        return [n for n, r in self.routers.items() if not r.points.dead and n not in stopping]

    def forget_late_generations(self) -> None:
        """Expect no more that what was accepted just now is in force in time."""
        for name in self.routers:
            self._forget_reachable(name)

    def _forget_reachable(self, name: str) -> None:
        # A router counts as reachable only if it is so for the whole time allowed.
        for generation, (accepted, reachable) in self.sightings.generations.items():
            if self.clock.now() <= accepted + IN_FORCE_SECONDS:
                self.sightings.generations[generation] = (accepted, reachable - {name})

    def _make_target(self, name: str, **options: bool) -> FakeTarget:
        return FakeTarget(name, self.clock, self.sightings, self.faults, **options)

    def _call(self, saw: CallerSaw, environ: dict[str, Any]) -> CallerSaw:
        self.sightings.callers.append(saw)
        router = self.routers[saw.router]
        if router.points.dead:
            saw.ending, saw.ended = Ending.CUT, self.clock.now()
            return saw
        inner = self._wrap_app(router.server.call)

        def app(environ: dict[str, Any], start_response: Any) -> Any:
            router.points.reach("request.received")
            return inner(environ, start_response)

        router.calls.append(gevent.spawn(perform, app, environ, saw, self.clock))
        return saw

    def _objects(self, spare: Collection[str]) -> list[ConfigObject]:
        receipts = Operation(path="/receipts", method="POST", idempotent=False)
        accounts = [
            ClientAccount(metadata=Metadata(name=name), key_digests=[digest_key(fake_key(name))])
            for name in ACCOUNTS
        ]
        services = [
            Service(metadata=Metadata(name=MODEL), default_cost=10.0),
            Service(metadata=Metadata(name=self.LOADABLE), default_cost=10.0),
            Service(metadata=Metadata(name=PLAIN), type=ServiceType.PLAIN, operations=[receipts]),
        ]
        targets = [self.target_object(t) for t in self.targets.values() if t.name not in spare]
        routes = [
            Route(metadata=Metadata(name=name), service=name)
            for name in (MODEL, PLAIN, self.LOADABLE)
        ]
        return [*accounts, *services, *targets, *routes]
