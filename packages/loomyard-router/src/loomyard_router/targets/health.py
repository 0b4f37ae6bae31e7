"""Ejection of targets after consecutive failed attempts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from loomyard.clock import Clock

FAILURES_TO_EJECT = 3
# Seconds until an ejected target is probed; doubled after each failed probe or trial.
FIRST_BACKOFF = 1.0
MAX_BACKOFF = 30.0
MAX_EJECTED_FRACTION = 0.5


@define(eq=False)
class _State:
    failures: int = 0
    ejected_at: float | None = None
    probe_at: float = 0.0
    backoff: float = FIRST_BACKOFF
    half_open: bool = False


class TargetHealth:
    """Outlier ejection by this router's own attempts.

    Failures are not shared: this router's network path may fail where those of others do not.
    """

    def __init__(self, clock: Clock, *, seed: int | None = None) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._states: dict[str, _State] = {}

    def record_failure(self, name: str) -> bool:
        """Record a failed attempt; return whether it ejects the target."""
        state = self._states.setdefault(name, _State())
        state.failures += 1
        if state.ejected_at is not None:
            return False
        if state.failures < FAILURES_TO_EJECT and not state.half_open:
            return False
        state.backoff = min(2 * state.backoff, MAX_BACKOFF) if state.half_open else FIRST_BACKOFF
        state.half_open = False
        state.ejected_at = self._clock.now()
        self._schedule_probe(state)
        return True

    def record_answer(self, name: str) -> bool:
        """Record an answered attempt; return whether it ends an ejection or half-open state."""
        state = self._states.pop(name, None)
        return state is not None and (state.ejected_at is not None or state.half_open)

    def record_probe(self, name: str, *, answered: bool) -> bool:
        """Record a probe of an ejected target; return whether the target is now half-open."""
        state = self._states.get(name)
        if state is None or state.ejected_at is None:
            return False
        if not answered:
            state.backoff = min(2 * state.backoff, MAX_BACKOFF)
            self._schedule_probe(state)
            return False
        state.ejected_at = None
        state.half_open = True
        return True

    def is_half_open(self, name: str) -> bool:
        """Return whether a target is on trial after an ejection, with one attempt at a time."""
        state = self._states.get(name)
        return state is not None and state.half_open

    def probes_due(self) -> list[str]:
        """Return the ejected targets whose next probe is due."""
        now = self._clock.now()
        return [
            n for n, s in self._states.items() if s.ejected_at is not None and s.probe_at <= now
        ]

    def ejected(self, pools: Mapping[str, Iterable[str]]) -> set[str]:
        """Return the targets to leave out, given the usable targets of each service.

        At most ``MAX_EJECTED_FRACTION`` of a service is left out, longest ejected first, and never
        its only target: where all fail, the fault is rarely the targets'.
        """
        since = {n: s.ejected_at for n, s in self._states.items() if s.ejected_at is not None}
        allowed = {}
        members = {service: set(names) for service, names in pools.items()}
        for service, names in members.items():
            allowed[service] = int(len(names) * MAX_EJECTED_FRACTION) if len(names) > 1 else 0
        chosen = set()
        for name in sorted(since, key=lambda n: (since[n], n)):
            services = [service for service, names in members.items() if name in names]
            if all(allowed[service] > 0 for service in services):
                chosen.add(name)
                for service in services:
                    allowed[service] -= 1
        return chosen

    def retain(self, names: Iterable[str]) -> None:
        """Drop the state of all other targets."""
        for name in self._states.keys() - set(names):
            del self._states[name]

    def _schedule_probe(self, state: _State) -> None:
        # Jitter over the upper half of the back-off keeps routers from probing in step.
        state.probe_at = self._clock.now() + state.backoff * self._random.uniform(0.5, 1.0)
