"""One run: programs, the faults of a seed, and what broke."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING, Any

import gevent

from loomyard_standins.programs.fault_plan import draw_plan
from loomyard_standins.programs.program_fleet import ProgramFleet
from loomyard_standins.programs.promise import Breach, Promise
from loomyard_standins.programs.promises import Promises
from loomyard_standins.programs.router_questions import RouterQuestions
from loomyard_standins.programs.strikes import LOOK_SECONDS, SERVES_SECONDS, Strikes
from loomyard_standins.programs.words import PATHS, SAME_BODIES

if TYPE_CHECKING:
    from pathlib import Path

CHANGE_SECONDS = 1.0


class SoakRun:
    """Play the faults of a seed against a fleet of programs."""

    def __init__(
        self, folder: Path, *, seed: int, seconds: float, every: float, routers: int
    ) -> None:
        self._seed = seed
        self._seconds = seconds
        self._plan = draw_plan(seed, seconds=seconds, every=every)
        self._promises = Promises()
        self._fleet = ProgramFleet(folder, seed=seed, routers=routers, promises=self._promises)
        self._questions = RouterQuestions(self._promises)
        self._strikes = Strikes(self._fleet, self._promises, self._questions, until=seconds)

    @property
    def breaches(self) -> list[Breach]:
        return self._fleet.breaches

    def play(self) -> dict[str, Any]:
        """Play everything; return figures."""
        began = time.monotonic()
        self._fleet.target_ended = lambda target: gevent.spawn(self._strikes.replace_ended, target)
        try:
            tasks = [gevent.spawn(self._strikes.strike, planned) for planned in self._plan]
            changes = gevent.spawn(self._change)
            gevent.sleep(self._seconds)
            gevent.joinall(tasks, raise_error=True)
            changes.kill()
            self._await_service()
        finally:
            self._fleet.end()
        self.breaches.extend(self._promises.unasked())
        return self._report(time.monotonic() - began)

    def _change(self) -> None:
        while True:
            gevent.sleep(CHANGE_SECONDS)
            if not self._strikes.judged:
                self._fleet.publish_configuration()
                self._fleet.tell_version()

    def _await_service(self) -> None:
        until = time.monotonic() + SERVES_SECONDS
        # Each kind, and also those that are harmless though they ran beside what ends targets.
        missing = [
            (router.address, kind, body)
            for router in self._fleet.routers
            for kind in PATHS
            for body in (b"", *SAME_BODIES)
        ]
        while missing and time.monotonic() < until:
            missing = [one for one in missing if not self._questions.serves(*one)]
            gevent.sleep(LOOK_SECONDS)
        for address, kind, body in missing:
            detail = f"{address} serves no {kind} {body!r} {SERVES_SECONDS} s after the last fault"
            self.breaches.append(Breach(Promise.SERVES_AGAIN, detail))

    def _report(self, seconds: float) -> dict[str, Any]:
        promises, lags = self._promises, self._promises.lags
        return {
            "seed": self._seed,
            "faults": self._strikes.played,
            "requests": promises.requests,
            "whole": promises.answered,
            "refused": promises.refused,
            "runs": promises.runs,
            "targets_ended": promises.ended,
            "sent_after_known": promises.sent_later,
            "passed_leaving": promises.said.passed_leaving,
            "turned_away": promises.said.turned_away,
            "versions": self._fleet.version,
            "seen_after_p50": round(statistics.median(lags), 2) if lags else None,
            "seen_after_most": _most(lags),
            "run_after_target_left_most": _most(promises.after_leaving),
            "run_after_caller_left_most": _most(promises.after_caller),
            "breaches": len(self.breaches),
            "seconds": round(seconds, 1),
        }


def _most(seconds: list[float]) -> float | None:
    return round(max(seconds), 2) if seconds else None
