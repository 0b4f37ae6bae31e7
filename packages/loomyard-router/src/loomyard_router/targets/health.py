"""Ejection of targets whose attempts fail one after another."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from loomyard.clock import Clock

FAILURES_TO_EJECT = 3
FIRST_BACKOFF = 1.0
MAX_BACKOFF = 30.0
MAX_EJECTED_PART = 0.5


@define(eq=False)
class _State:
    failures: int = 0
    ejected_at: float | None = None
    probe_at: float = 0.0
    backoff: float = FIRST_BACKOFF
    half_open: bool = False


class TargetHealth:
    """Count failed attempts of this router; its path may fail where others' do not."""

    def __init__(self, clock: Clock, *, seed: int | None = None) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._states: dict[str, _State] = {}

    def failed(self, name: str) -> bool:
        """Take in a failed attempt; tell whether the target is newly to be ejected."""
        state = self._states.setdefault(name, _State())
        state.failures += 1
        if state.ejected_at is not None:
            return False
        if state.failures < FAILURES_TO_EJECT and not state.half_open:
            return False
        state.backoff = min(2 * state.backoff, MAX_BACKOFF) if state.half_open else FIRST_BACKOFF
        state.half_open = False
        state.ejected_at = self._clock.now()
        self._postpone(state)
        return True

    def answered(self, name: str) -> bool:
        """Take in an answered attempt; tell whether that ends an ejection."""
        state = self._states.pop(name, None)
        return state is not None and (state.ejected_at is not None or state.half_open)

    def probed(self, name: str, *, answered: bool) -> bool:
        """Take in a probe of an ejected target; an answer half-opens it."""
        state = self._states.get(name)
        if state is None or state.ejected_at is None:
            return False
        if not answered:
            state.backoff = min(2 * state.backoff, MAX_BACKOFF)
            self._postpone(state)
            return False
        state.ejected_at = None
        state.half_open = True
        return True

    def is_half_open(self, name: str) -> bool:
        """Tell whether a target gets a first attempt after an ejection."""
        state = self._states.get(name)
        return state is not None and state.half_open

    def probes_due(self) -> list[str]:
        """Return the targets to be probed now."""
        now = self._clock.now()
        return [
            n for n, s in self._states.items() if s.ejected_at is not None and s.probe_at <= now
        ]

    def ejected(self, pools: Mapping[str, Iterable[str]]) -> set[str]:
        """Return the targets to leave out, given the usable targets of each service.

        Of each service at most a part is left out and one target stays, the longest ejected
        first: where all fail the fault is seldom the targets'.
        """
        out = {n: s.ejected_at for n, s in self._states.items() if s.ejected_at is not None}
        room = {}
        members = {service: set(names) for service, names in pools.items()}
        for service, names in members.items():
            room[service] = int(len(names) * MAX_EJECTED_PART) if len(names) > 1 else 0
        chosen = set()
        for name in sorted(out, key=lambda n: (out[n], n)):
            mine = [service for service, names in members.items() if name in names]
            if all(room[service] > 0 for service in mine):
                chosen.add(name)
                for service in mine:
                    room[service] -= 1
        return chosen

    def retain(self, names: Iterable[str]) -> None:
        """Forget all other targets."""
        for name in self._states.keys() - set(names):
            del self._states[name]

    def _postpone(self, state: _State) -> None:
        # Full jitter over the upper half keeps routers from probing in step.
        state.probe_at = self._clock.now() + state.backoff * self._random.uniform(0.5, 1.0)
