"""How long runs of requests take, so that a planned stop begins none that it would have to cut."""

from __future__ import annotations

from collections import deque

from attrs import define, field

# Of a route, the latest so many runs count; with fewer than the least, nothing is known.
MAX_RUNS = 32
MIN_RUNS = 8
# A run is likely to end in a time in which this fraction of the latest runs ended.
LIKELY_FRACTION = 0.75


@define(eq=False)
class RunTimes:
    """Seconds from the sending of requests to the ends of their answers, by route."""

    _latest: dict[str, deque[float]] = field(factory=dict)

    def record(self, route: str, seconds: float) -> None:
        """Record a run that ended by itself."""
        if route not in self._latest:
            self._latest[route] = deque(maxlen=MAX_RUNS)
        self._latest[route].append(seconds)

    def retain(self, routes: set[str]) -> None:
        """Forget routes that are no longer configured."""
        self._latest = {name: runs for name, runs in self._latest.items() if name in routes}

    def find_likely(self, route: str) -> float | None:
        """Return the seconds in which a run is likely to end, ``None`` where that is not known."""
        runs = sorted(self._latest.get(route, ()))
        return runs[int(len(runs) * LIKELY_FRACTION)] if len(runs) >= MIN_RUNS else None
