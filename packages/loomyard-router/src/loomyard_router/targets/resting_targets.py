"""Which targets asked this router to leave them alone for a while."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard.clock import Clock


class RestingTargets:
    """Targets by name, or by the name of a life, each until the latest time that it asked for."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until: dict[str, float] = {}

    @property
    def names(self) -> set[str]:
        """Return the targets that rest now."""
        now = self._clock.now()
        return {name for name, until in self._until.items() if until > now}

    def until(self, name: str) -> float:
        """Return until when a target rests; it may have passed."""
        return self._until.get(name, 0.0)

    def rest(self, name: str, until: float) -> bool:
        """Take in a wish for rest, which shortens no other; tell whether the target rests anew."""
        new = name not in self.names
        self._until[name] = max(until, self._until.get(name, until))
        return new

    def expire(self) -> bool:
        """Forget wishes that are over; tell whether there were any."""
        over = self._until.keys() - self.names
        for name in over:
            del self._until[name]
        return bool(over)

    def retain(self, names: Iterable[str]) -> None:
        """Forget all other targets."""
        for name in self._until.keys() - set(names):
            del self._until[name]
