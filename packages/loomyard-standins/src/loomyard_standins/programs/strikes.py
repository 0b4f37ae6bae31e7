"""What the faults of a plan do to the programs of a run."""

from __future__ import annotations

import json
import random
import signal
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

import gevent

from loomyard_standins.programs.documents import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    DATA_CENTRES,
    NONSENSE,
    TARGETS_TOPIC,
)
from loomyard_standins.programs.fault_plan import ProgramFault
from loomyard_standins.programs.fault_proxy import LinkFault
from loomyard_standins.programs.promise import Breach, Promise
from loomyard_standins.programs.promises import STORE
from loomyard_standins.programs.words import SUSPENDING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from loomyard_standins.programs.fault_plan import Planned
    from loomyard_standins.programs.program import Program
    from loomyard_standins.programs.program_fleet import ProgramFleet, Router, Target
    from loomyard_standins.programs.promises import Promises
    from loomyard_standins.programs.router_questions import RouterQuestions

# After the faults: by then every router has to serve every kind of request.
SERVES_SECONDS = 60.0
LOOK_SECONDS = 0.2
# What is left of the time of faults after one that stays.
LAST_SECONDS = 1.0
# The notice of a suspension has to be heard before the stop.
NOTICE_SECONDS = 0.3
# How long a target stays cold and a data centre emptied.
LONG_SECONDS = 8.0
# How old a copy is that the store comes back from, and when its writers have heard of that.
COPY_AGES = (0.5, 3.0, 6.0)
WRITE_AGAIN_SECONDS = 0.4
# Part of the losses in which writers reach the store before routers do, so that a reader which goes
# by its old place finds records beyond it and none missing.
WRITERS_FIRST_PART = 0.7
# What a target asks for that turns requests away.
REST_SECONDS = 3.0
LINK_FAULTS = (LinkFault.SILENT, LinkFault.ONE_WAY, LinkFault.DELAYED, LinkFault.RESET)


class Strikes:
    """Strike a fleet; what is struck by one fault is left alone by the others.

    ``until`` is when the faults end, in seconds from their start.
    """

    def __init__(
        self,
        fleet: ProgramFleet,
        promises: Promises,
        questions: RouterQuestions,
        *,
        until: float,
    ) -> None:
        self._fleet = fleet
        self._promises = promises
        self._questions = questions
        self._until = until
        self._struck: set[object] = set()
        self.played = 0
        # How many losses of the store are being judged; no version hides them meanwhile.
        self.judged = 0
        self._faults: dict[ProgramFault, Callable[[Planned], None]] = {
            ProgramFault.KILL_ROUTER: lambda one: self._restart(one, signal.SIGKILL),
            ProgramFault.STOP_ROUTER: lambda one: self._restart(one, signal.SIGTERM),
            ProgramFault.PAUSE_ROUTER: lambda one: self._pause_router(one, suspended=False),
            ProgramFault.SUSPEND_ROUTER: lambda one: self._pause_router(one, suspended=True),
            ProgramFault.CRASH_TARGET: lambda one: self._replace(one, crash=True),
            ProgramFault.LEAVE_TARGET: lambda one: self._replace(one, crash=False),
            ProgramFault.PAUSE_TARGET: self._pause_target,
            ProgramFault.REBORN_TARGET: self._restart_target,
            ProgramFault.COLD_TARGET: self._cool,
            ProgramFault.EMPTY_DATA_CENTRE: self._empty,
            ProgramFault.OTHER_WRITER: self._write_nonsense,
            ProgramFault.CUT_TARGET: self._cut_target,
            ProgramFault.PAUSE_STORE: self._pause_store,
            ProgramFault.BUSY_STORE: self._refuse,
            ProgramFault.CUT_STORE: lambda one: self._cut_store(one, everyone=False),
            ProgramFault.MUTE_STORE: lambda one: self._cut_store(one, everyone=True),
            ProgramFault.LOSE_WRITES: self._lose_writes,
            ProgramFault.SAY_LEAVING: self._say_leaving,
            ProgramFault.ASK_REST: self._ask_rest,
        }

    def strike(self, planned: Planned) -> None:
        """Wait until a fault is due, and play it."""
        gevent.sleep(planned.at)
        self._faults[planned.fault](planned)

    def replace_ended(self, target: Target) -> None:
        """Start another target for one that ended, unless a fault is about to do so."""
        if target not in self._struck:
            self._struck.add(target)
            self._fleet.replace_target(target, crash=True)
            self._struck.remove(target)

    def _router(self, planned: Planned) -> Router:
        return self._fleet.routers[planned.choice % len(self._fleet.routers)]

    def _target(self, planned: Planned) -> Target:
        return self._fleet.targets[planned.choice % len(self._fleet.targets)]

    def _take(self, struck: object) -> bool:
        """Strike what no other fault strikes now; tell whether it is free."""
        if struck in self._struck:
            return False
        self._struck.add(struck)
        self.played += 1
        return True

    def _restart(self, planned: Planned, number: signal.Signals) -> None:
        router = self._router(planned)
        if self._take(router):
            with self._disturbed(router.address):
                self._fleet.restart_router(router, number)
                self._await_ready(router)
            self._struck.remove(router)

    def _replace(self, planned: Planned, *, crash: bool) -> None:
        target = self._target(planned)
        if self._take(target):
            self._fleet.replace_target(target, crash=crash)
            self._struck.remove(target)

    def _await_ready(self, router: Router) -> None:
        """Wait until a router serves; a busy machine takes seconds to start it."""
        until = time.monotonic() + SERVES_SECONDS
        while not self._questions.is_ready(router) and time.monotonic() < until:
            gevent.sleep(LOOK_SECONDS)

    def _pause_router(self, planned: Planned, *, suspended: bool) -> None:
        router = self._router(planned)
        if suspended:
            router.program.signal(SUSPENDING)
            gevent.sleep(NOTICE_SECONDS)
        with self._disturbed(router.address):
            self._pause(planned, router.program)

    def _pause_target(self, planned: Planned) -> None:
        target = self._target(planned)
        with self._disturbed(target.id):
            self._pause(planned, target.program)

    def _pause_store(self, planned: Planned) -> None:
        with self._disturbed(STORE):
            self._pause(planned, self._fleet.store)

    def _restart_target(self, planned: Planned) -> None:
        target = self._target(planned)
        if self._take(target):
            self._fleet.restart_target(target)
            self._struck.remove(target)

    def _cool(self, planned: Planned) -> None:
        target = self._target(planned)
        if self._take((target, "cold")):
            target.cold_seconds = LONG_SECONDS
            self._fleet.announce(target)
            self._promises.note_cold(target.id, time.monotonic())
            self._stay(planned)
            target.cold_seconds = 0.0
            self._promises.note_cold(target.id, None)
            if target in self._fleet.targets and target not in self._struck:
                self._fleet.announce(target)
            self._struck.remove((target, "cold"))

    def _empty(self, planned: Planned) -> None:
        # The other one is left to serve.
        data_centre = DATA_CENTRES[-1]
        if self._take(data_centre):
            self._fleet.publish_order(data_centre, emptied=True)
            self._stay(planned)
            self._fleet.publish_order(data_centre, emptied=False)
            self._struck.remove(data_centre)

    def _write_nonsense(self, planned: Planned) -> None:
        value = NONSENSE[planned.choice % len(NONSENSE)]
        target = self._target(planned)
        if self._take((target, "written")):
            self._fleet.publish_entry(TARGETS_TOPIC, f"other-{planned.choice}", value)
            if not self.judged:
                self._fleet.publish_entry(CONFIGURATION_TOPIC, CONFIGURATION_KEY, value)
            self._fleet.publish_entry(TARGETS_TOPIC, target.id, value)
            gevent.sleep(planned.until - planned.at)
            if not self.judged:
                # A router that starts now would know none, however slowly versions come.
                self._fleet.publish_configuration()
            if target in self._fleet.targets and target not in self._struck:
                self._fleet.announce(target)
            self._struck.remove((target, "written"))

    def _stay(self, planned: Planned) -> None:
        """Wait for long enough to judge what has to hold after some seconds."""
        gevent.sleep(min(LONG_SECONDS, max(0.0, self._until - planned.at - LAST_SECONDS)))

    @contextmanager
    def _disturbed(self, *who: str) -> Iterator[None]:
        for one in who:
            self._promises.disturb(one)
        yield
        for one in who:
            self._promises.calm(one, time.monotonic())

    def _pause(self, planned: Planned, program: Program) -> None:
        # A router or target that is being replaced may end meanwhile; its signals go nowhere then.
        if self._take(program):
            program.signal(signal.SIGSTOP)
            gevent.sleep(planned.until - planned.at)
            program.signal(signal.SIGCONT)
            self._struck.remove(program)

    def _refuse(self, planned: Planned) -> None:
        if self._take(ProgramFault.BUSY_STORE):
            with self._disturbed(STORE):
                self._fleet.store.tell(json.dumps({"busy": True}))
                gevent.sleep(planned.until - planned.at)
                self._fleet.store.tell(json.dumps({"busy": False}))
            self._struck.remove(ProgramFault.BUSY_STORE)

    def _lose_writes(self, planned: Planned) -> None:
        if not self._take(ProgramFault.BUSY_STORE):
            return
        source = random.Random(planned.choice)
        self.judged += 1
        with self._disturbed(STORE):
            self._fleet.store.tell(json.dumps({"busy": True}))
            gevent.sleep(planned.until - planned.at)
            self._fleet.lose_writes(COPY_AGES[planned.choice % len(COPY_AGES)])
            if source.random() < WRITERS_FIRST_PART:
                self._write_after_loss(source)
                self._fleet.outgrow_lost()
                self._fleet.store.tell(json.dumps({"busy": False}))
            else:
                self._fleet.store.tell(json.dumps({"busy": False}))
                # Writers hear of it and write again, in another order.
                gevent.sleep(WRITE_AGAIN_SECONDS)
                self._write_after_loss(source)
        self._struck.remove(ProgramFault.BUSY_STORE)
        self._await_version(self._fleet.version)
        self.judged -= 1

    def _write_after_loss(self, source: random.Random) -> None:
        """Write what the copy lacks, and a version that nobody has heard of."""
        self._fleet.publish_configuration()
        self._fleet.write_again(source)

    def _await_version(self, version: int) -> None:
        """Let every router come to know a version before a later one hides it."""
        until = time.monotonic() + SERVES_SECONDS
        missing = [router.address for router in self._fleet.routers]
        while missing and time.monotonic() < until:
            missing = [one for one in missing if not self._questions.knows(one, version)]
            gevent.sleep(LOOK_SECONDS)
        for address in missing:
            detail = f"{address} does not know version {version} after {SERVES_SECONDS} s"
            self._fleet.breaches.append(Breach(Promise.IN_FORCE, detail))

    def _say_leaving(self, planned: Planned) -> None:
        target = self._target(planned)
        if self._take(target):
            self._fleet.say_leaving(target)
            self._stay(planned)
            self._fleet.replace_target(target, crash=False)
            self._struck.remove(target)

    def _ask_rest(self, planned: Planned) -> None:
        target = self._target(planned)
        if self._take((target, "rest")):
            self._fleet.ask_rest(target, REST_SECONDS)
            self._stay(planned)
            self._fleet.ask_rest(target, 0.0)
            self._struck.remove((target, "rest"))

    def _cut_target(self, planned: Planned) -> None:
        target = self._target(planned)
        if self._take(target.link):
            with self._disturbed(target.id):
                target.link.set_fault(LINK_FAULTS[planned.choice % len(LINK_FAULTS)])
                gevent.sleep(planned.until - planned.at)
                target.link.set_fault(LinkFault.NONE)
            self._struck.remove(target.link)

    def _cut_store(self, planned: Planned, *, everyone: bool) -> None:
        routers = self._fleet.routers if everyone else [self._router(planned)]
        links = [router.store for router in routers if self._take(router.store)]
        struck = [router.address for router in routers if router.store in links]
        with self._disturbed(*struck):
            for link in links:
                link.set_fault(LINK_FAULTS[planned.choice % len(LINK_FAULTS)])
            gevent.sleep(planned.until - planned.at)
            for link in links:
                link.set_fault(LinkFault.NONE)
        for link in links:
            self._struck.remove(link)
