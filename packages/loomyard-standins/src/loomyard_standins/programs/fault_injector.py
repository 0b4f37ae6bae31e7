"""Inject the faults of a plan into the programs of a run."""

from __future__ import annotations

import json
import random
import signal
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

import gevent
from attrs import evolve

from loomyard_standins.programs.documents import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    DATA_CENTRES,
    INVALID_VALUES,
    TARGETS_TOPIC,
)
from loomyard_standins.programs.fault_plan import ProgramFault
from loomyard_standins.programs.fault_proxy import LinkFault
from loomyard_standins.programs.invariant import Invariant, Violation
from loomyard_standins.programs.invariant_checker import STORE
from loomyard_standins.programs.soak_protocol import SUSPEND_SIGNAL

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from loomyard_standins.programs.fault_plan import PlannedFault
    from loomyard_standins.programs.invariant_checker import InvariantChecker
    from loomyard_standins.programs.program import Program
    from loomyard_standins.programs.program_fleet import ProgramFleet, Router, Target
    from loomyard_standins.programs.router_probe import RouterProbe

# After the last fault; by then every router must serve every kind of request.
RECOVERY_SECONDS = 60.0
POLL_SECONDS = 0.2
# Left between the end of a long fault and the end of all faults.
FINAL_SECONDS = 1.0
# The router must have handled the suspend signal before it is stopped.
SUSPEND_NOTICE_SECONDS = 0.3
# How long a target stays cold, leaving or backing off, and a data centre evacuated.
EFFECT_SECONDS = 8.0
# Age of the copy to which the store rolls back, and how long after that its writers write again.
COPY_AGES_SECONDS = (0.5, 3.0, 6.0)
WRITE_AGAIN_SECONDS = 0.4
# Fraction of the rollbacks in which writers reach the store before routers do: the log has then
# grown past the old offset of a reader, which can't tell by its offset that records were lost.
WRITERS_FIRST_FRACTION = 0.7
# Back-off that a target asks for in its refusals.
BACKOFF_SECONDS = 3.0
MAX_RELOAD_PAUSE_SECONDS = 0.2
# How long routers stand still as a target leaves: shorter than their contact to others may be lost.
STALL_SECONDS = (0.5, 2.6)
LINK_FAULTS = (LinkFault.DROP_ALL, LinkFault.DROP_ANSWERS, LinkFault.DELAYED, LinkFault.RESET)


class FaultInjector:
    """Inject faults into a fleet.

    ``until`` is the time by which the faults end, in seconds from their start. Each
    fault reserves what it acts on, and is skipped while another fault has reserved the same.
    """

    def __init__(
        self,
        fleet: ProgramFleet,
        checker: InvariantChecker,
        router_probe: RouterProbe,
        *,
        until: float,
    ) -> None:
        self._fleet = fleet
        self._checker = checker
        self._router_probe = router_probe
        self._until = until
        self._reserved: set[object] = set()
        self.injected = 0
        # Rollbacks of the store under check; no newer version is published meanwhile, which would
        # hide a lost one.
        self.rollbacks_in_check = 0
        self._faults: dict[ProgramFault, Callable[[PlannedFault], None]] = {
            ProgramFault.KILL_ROUTER: lambda planned: self._restart(planned, signal.SIGKILL),
            ProgramFault.STOP_ROUTER: lambda planned: self._restart(planned, signal.SIGTERM),
            ProgramFault.PAUSE_ROUTER: lambda planned: self._pause_router(planned, suspended=False),
            ProgramFault.SUSPEND_ROUTER: lambda planned: self._pause_router(
                planned, suspended=True
            ),
            ProgramFault.CRASH_TARGET: lambda planned: self._replace(planned, crash=True),
            ProgramFault.LEAVE_TARGET: lambda planned: self._replace(planned, crash=False),
            ProgramFault.PAUSE_TARGET: self._pause_target,
            ProgramFault.RESTART_TARGET: self._restart_target,
            ProgramFault.COLD_TARGET: self._make_cold,
            ProgramFault.EVACUATE_DATA_CENTRE: self._evacuate,
            ProgramFault.WRITE_INVALID_ENTRIES: self._write_invalid_entries,
            ProgramFault.CUT_TARGET: self._cut_target,
            ProgramFault.PAUSE_STORE: self._pause_store,
            ProgramFault.REFUSE_STORE_CALLS: self._refuse_store_calls,
            ProgramFault.CUT_STORE: lambda planned: self._cut_store(planned, all_routers=False),
            ProgramFault.CUT_STORE_FOR_ALL: lambda planned: self._cut_store(
                planned, all_routers=True
            ),
            ProgramFault.ROLL_BACK_STORE: self._roll_back_store,
            ProgramFault.NOTIFY_LEAVING: self._notify_leaving,
            ProgramFault.REQUEST_BACKOFF: self._request_backoff,
            ProgramFault.RELOAD_ROUTER: self._reload_router,
            ProgramFault.STALL_AT_LEAVING: self._stall_at_leaving,
        }

    def inject(self, planned: PlannedFault) -> None:
        """Wait until a fault is due, inject it and wait for its end."""
        gevent.sleep(planned.at)
        self._faults[planned.fault](planned)

    def replace_crashed(self, target: Target) -> None:
        """Replace a target that crashed under a request, unless a fault replaces it already."""
        if target not in self._reserved:
            self._reserved.add(target)
            self._fleet.replace_target(target, crash=True)
            self._reserved.remove(target)

    def _choose_router(self, planned: PlannedFault) -> Router:
        return self._fleet.routers[planned.choice % len(self._fleet.routers)]

    def _choose_target(self, planned: PlannedFault) -> Target:
        return self._fleet.targets[planned.choice % len(self._fleet.targets)]

    def _reserve(self, resource: object) -> bool:
        """Reserve what a fault acts on; return false if another fault has it."""
        if resource in self._reserved:
            return False
        self._reserved.add(resource)
        self.injected += 1
        return True

    def _restart(self, planned: PlannedFault, number: signal.Signals) -> None:
        router = self._choose_router(planned)
        if self._reserve(router):
            with self._disturbed(router.address):
                self._fleet.restart_router(router, number)
                self._await_ready(router)
            self._reserved.remove(router)

    def _replace(self, planned: PlannedFault, *, crash: bool) -> None:
        target = self._choose_target(planned)
        if self._reserve(target):
            self._fleet.replace_target(target, crash=crash)
            self._reserved.remove(target)

    def _await_ready(self, router: Router) -> None:
        """Wait until a router is ready, which takes seconds on a busy host."""
        until = time.monotonic() + RECOVERY_SECONDS
        while not self._router_probe.is_ready(router) and time.monotonic() < until:
            gevent.sleep(POLL_SECONDS)

    def _pause_router(self, planned: PlannedFault, *, suspended: bool) -> None:
        router = self._choose_router(planned)
        if suspended:
            router.program.signal(SUSPEND_SIGNAL)
            gevent.sleep(SUSPEND_NOTICE_SECONDS)
        with self._disturbed(router.address, is_stall=True):
            self._pause(planned, router.program)

    def _reload_router(self, planned: PlannedFault) -> None:
        """Send SIGHUP several times, to whatever runs at the router's address then."""
        router, rng = self._choose_router(planned), random.Random(planned.choice)
        self.injected += 1
        while time.monotonic() < self._fleet.started_at + planned.until:
            if router.program.catches(signal.SIGHUP):
                router.program.signal(signal.SIGHUP)
            gevent.sleep(rng.uniform(0.0, MAX_RELOAD_PAUSE_SECONDS))

    def _stall_at_leaving(self, planned: PlannedFault) -> None:
        """Let all routers stand still from just before a target leaves."""
        rng = random.Random(planned.choice)
        stall = rng.uniform(*STALL_SECONDS)
        stalled = evolve(planned, until=planned.at + stall)
        tasks = [
            gevent.spawn(self._stall_router, stalled, router) for router in self._fleet.routers
        ]
        gevent.sleep(rng.uniform(0.0, stall))
        self._replace(planned, crash=False)
        gevent.joinall(tasks, raise_error=True)

    def _stall_router(self, planned: PlannedFault, router: Router) -> None:
        with self._disturbed(router.address, is_stall=True):
            self._pause(planned, router.program)

    def _pause_target(self, planned: PlannedFault) -> None:
        target = self._choose_target(planned)
        with self._disturbed(target.id):
            self._pause(planned, target.program)

    def _pause_store(self, planned: PlannedFault) -> None:
        with self._disturbed(STORE):
            self._pause(planned, self._fleet.store)

    def _restart_target(self, planned: PlannedFault) -> None:
        target = self._choose_target(planned)
        if self._reserve(target):
            self._fleet.restart_target(target)
            self._reserved.remove(target)

    def _make_cold(self, planned: PlannedFault) -> None:
        target = self._choose_target(planned)
        if self._reserve((target, "cold")):
            target.cold_seconds = EFFECT_SECONDS
            self._fleet.announce(target)
            self._checker.record_cold(target.id, time.monotonic())
            self._wait_for_effect(planned)
            target.cold_seconds = 0.0
            self._checker.record_cold(target.id, None)
            if target in self._fleet.targets and target not in self._reserved:
                self._fleet.announce(target)
            self._reserved.remove((target, "cold"))

    def _evacuate(self, planned: PlannedFault) -> None:
        # The other data centre goes on serving.
        data_centre = DATA_CENTRES[-1]
        if self._reserve(data_centre):
            self._fleet.publish_evacuation(data_centre, evacuated=True)
            self._wait_for_effect(planned)
            self._fleet.publish_evacuation(data_centre, evacuated=False)
            self._reserved.remove(data_centre)

    def _write_invalid_entries(self, planned: PlannedFault) -> None:
        value = INVALID_VALUES[planned.choice % len(INVALID_VALUES)]
        target = self._choose_target(planned)
        if self._reserve((target, "written")):
            self._fleet.publish_entry(TARGETS_TOPIC, f"other-{planned.choice}", value)
            if not self.rollbacks_in_check:
                self._fleet.publish_entry(CONFIGURATION_TOPIC, CONFIGURATION_KEY, value)
            self._fleet.publish_entry(TARGETS_TOPIC, target.id, value)
            gevent.sleep(planned.until - planned.at)
            if not self.rollbacks_in_check:
                # A router that starts now would find only the invalid value.
                self._fleet.publish_configuration()
            if target in self._fleet.targets and target not in self._reserved:
                self._fleet.announce(target)
            self._reserved.remove((target, "written"))

    def _wait_for_effect(self, planned: PlannedFault) -> None:
        """Wait until the effect of a fault can be checked, at most until the end of all faults."""
        gevent.sleep(min(EFFECT_SECONDS, max(0.0, self._until - planned.at - FINAL_SECONDS)))

    @contextmanager
    def _disturbed(self, *components: str, is_stall: bool = False) -> Iterator[None]:
        """Exempt components from checks that a fault of theirs may fail."""
        for component in components:
            self._checker.record_disturbance(component, is_stall=is_stall)
        yield
        for component in components:
            self._checker.record_recovery(component, time.monotonic(), is_stall=is_stall)

    def _pause(self, planned: PlannedFault, program: Program) -> None:
        # Another fault may end the program meanwhile; signals to it are dropped then.
        if self._reserve(program):
            program.signal(signal.SIGSTOP)
            gevent.sleep(planned.until - planned.at)
            program.signal(signal.SIGCONT)
            self._reserved.remove(program)

    def _refuse_store_calls(self, planned: PlannedFault) -> None:
        if self._reserve(ProgramFault.REFUSE_STORE_CALLS):
            with self._disturbed(STORE):
                self._fleet.store.send_line(json.dumps({"busy": True}))
                gevent.sleep(planned.until - planned.at)
                self._fleet.store.send_line(json.dumps({"busy": False}))
            self._reserved.remove(ProgramFault.REFUSE_STORE_CALLS)

    def _roll_back_store(self, planned: PlannedFault) -> None:
        if not self._reserve(ProgramFault.REFUSE_STORE_CALLS):
            return
        rng = random.Random(planned.choice)
        self.rollbacks_in_check += 1
        with self._disturbed(STORE):
            self._fleet.store.send_line(json.dumps({"busy": True}))
            gevent.sleep(planned.until - planned.at)
            self._fleet.roll_back_store(COPY_AGES_SECONDS[planned.choice % len(COPY_AGES_SECONDS)])
            if rng.random() < WRITERS_FIRST_FRACTION:
                self._write_after_rollback(rng)
                self._fleet.grow_past_rollback()
                self._fleet.store.send_line(json.dumps({"busy": False}))
            else:
                self._fleet.store.send_line(json.dumps({"busy": False}))
                # Writers notice the rollback later and write again, in another order.
                gevent.sleep(WRITE_AGAIN_SECONDS)
                self._write_after_rollback(rng)
        self._reserved.remove(ProgramFault.REFUSE_STORE_CALLS)
        self._await_version(self._fleet.version)
        self.rollbacks_in_check -= 1

    def _write_after_rollback(self, rng: random.Random) -> None:
        """Publish a new version and write again what the rollback lost."""
        self._fleet.publish_configuration()
        self._fleet.rewrite_lost(rng)

    def _await_version(self, version: int) -> None:
        """Wait until every router serves a version; record a violation for each that does not."""
        until = time.monotonic() + RECOVERY_SECONDS
        missing = [router.address for router in self._fleet.routers]
        while missing and time.monotonic() < until:
            missing = [
                address
                for address in missing
                if not self._router_probe.serves_version(address, version)
            ]
            gevent.sleep(POLL_SECONDS)
        for address in missing:
            detail = (
                f"{address} does not serve version {version} {RECOVERY_SECONDS} s after a rollback"
            )
            self._fleet.violations.append(Violation(Invariant.IN_FORCE, detail))

    def _notify_leaving(self, planned: PlannedFault) -> None:
        target = self._choose_target(planned)
        if self._reserve(target):
            self._fleet.notify_leaving(target)
            self._wait_for_effect(planned)
            self._fleet.replace_target(target, crash=False)
            self._reserved.remove(target)

    def _request_backoff(self, planned: PlannedFault) -> None:
        target = self._choose_target(planned)
        if self._reserve((target, "rest")):
            self._fleet.request_backoff(target, BACKOFF_SECONDS)
            self._wait_for_effect(planned)
            self._fleet.request_backoff(target, 0.0)
            self._reserved.remove((target, "rest"))

    def _cut_target(self, planned: PlannedFault) -> None:
        target = self._choose_target(planned)
        if self._reserve(target.proxy):
            with self._disturbed(target.id):
                target.proxy.set_fault(LINK_FAULTS[planned.choice % len(LINK_FAULTS)])
                gevent.sleep(planned.until - planned.at)
                target.proxy.set_fault(LinkFault.NONE)
            self._reserved.remove(target.proxy)

    def _cut_store(self, planned: PlannedFault, *, all_routers: bool) -> None:
        routers = self._fleet.routers if all_routers else [self._choose_router(planned)]
        links = [router.store_proxy for router in routers if self._reserve(router.store_proxy)]
        addresses = [router.address for router in routers if router.store_proxy in links]
        with self._disturbed(*addresses):
            for link in links:
                link.set_fault(LINK_FAULTS[planned.choice % len(LINK_FAULTS)])
            gevent.sleep(planned.until - planned.at)
            for link in links:
                link.set_fault(LinkFault.NONE)
        for link in links:
            self._reserved.remove(link)
