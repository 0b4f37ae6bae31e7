"""Run a soak: start the programs, inject the faults of a seed, report the violations."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING, Any

import gevent

from loomyard_standins.programs.fault_injector import POLL_SECONDS, RECOVERY_SECONDS, FaultInjector
from loomyard_standins.programs.fault_plan import draw_plan
from loomyard_standins.programs.invariant import Invariant, Violation
from loomyard_standins.programs.invariant_checker import InvariantChecker
from loomyard_standins.programs.program_fleet import ProgramFleet
from loomyard_standins.programs.router_probe import RouterProbe
from loomyard_standins.programs.soak_protocol import PATHS, REPEATED_BODIES

if TYPE_CHECKING:
    from pathlib import Path

VERSION_PERIOD_SECONDS = 1.0


class SoakRun:
    """One soak run: the faults of a seed against a fleet of programs, for ``seconds``."""

    def __init__(
        self,
        folder: Path,
        *,
        seed: int,
        seconds: float,
        every: float,
        routers: int,
        router_memory: int = 0,
    ) -> None:
        self._seed = seed
        self._seconds = seconds
        self._plan = draw_plan(seed, seconds=seconds, every=every)
        self._checker = InvariantChecker()
        self._fleet = ProgramFleet(
            folder,
            seed=seed,
            routers=routers,
            checker=self._checker,
            router_memory=router_memory,
        )
        self._router_probe = RouterProbe(self._checker)
        self._injector = FaultInjector(
            self._fleet, self._checker, self._router_probe, until=seconds
        )

    @property
    def violations(self) -> list[Violation]:
        return self._fleet.violations

    def execute(self) -> dict[str, Any]:
        """Run until the routers serve again after the last fault; return the report."""
        started_at = time.monotonic()
        self._fleet.on_target_crashed = lambda target: gevent.spawn(
            self._injector.replace_crashed, target
        )
        try:
            tasks = [gevent.spawn(self._injector.inject, planned) for planned in self._plan]
            changes = gevent.spawn(self._publish_versions)
            gevent.sleep(self._seconds)
            gevent.joinall(tasks, raise_error=True)
            changes.kill()
            self._await_service()
        finally:
            self._fleet.stop()
        self.violations.extend(self._checker.find_unsent_runs())
        self.violations.extend(self._checker.streams.find_lost())
        return self._report(time.monotonic() - started_at)

    def _publish_versions(self) -> None:
        while True:
            gevent.sleep(VERSION_PERIOD_SECONDS)
            if not self._injector.rollbacks_in_check:
                self._fleet.publish_configuration()
                self._fleet.send_version()

    def _await_service(self) -> None:
        until = time.monotonic() + RECOVERY_SECONDS
        # The repeated bodies ran beside poison requests and must not be refused as such.
        missing = [
            (router.address, kind, body)
            for router in self._fleet.routers
            for kind in PATHS
            for body in (b"", *REPEATED_BODIES)
        ]
        while missing and time.monotonic() < until:
            missing = [request for request in missing if not self._router_probe.serves(*request)]
            gevent.sleep(POLL_SECONDS)
        for address, kind, body in missing:
            detail = f"{address} serves no {kind} {body!r} {RECOVERY_SECONDS} s after faults"
            self.violations.append(Violation(Invariant.SERVES_AGAIN, detail))

    def _report(self, seconds: float) -> dict[str, Any]:
        checker, visibility_lags = self._checker, self._checker.visibility_lags
        return {
            "seed": self._seed,
            "faults": self._injector.injected,
            "requests": checker.requests,
            "whole": checker.answered,
            "refused": checker.refused,
            "runs": checker.runs,
            "targets_ended": checker.crashes,
            "sent_after_known": checker.late_send_count,
            "streams_begun": checker.streams.begun.as_text,
            "streams_taken_up": checker.streams.taken_up.as_text,
            "passed_leaving": checker.notices.forwarded_notices,
            "turned_away": checker.notices.refused_with_backoff,
            "versions": self._fleet.version,
            "seen_after_p50": (
                round(statistics.median(visibility_lags), 2) if visibility_lags else None
            ),
            "seen_after_most": _rounded_max(visibility_lags),
            "run_after_target_left_most": _rounded_max(checker.run_after_target_left),
            "run_after_caller_left_most": _rounded_max(checker.run_after_caller_left),
            "breaches": len(self.violations),
            "seconds": round(seconds, 1),
        }


def _rounded_max(seconds: list[float]) -> float | None:
    return round(max(seconds), 2) if seconds else None
