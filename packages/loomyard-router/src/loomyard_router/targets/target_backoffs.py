"""Targets that asked this router in a refusal (``Retry-After``) to back off."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard.clock import Clock


class TargetBackoffs:
    """End of the back-off (clock time, s) by target name or incarnation."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until: dict[str, float] = {}

    @property
    def names(self) -> set[str]:
        """Return the targets that are backed off from now."""
        now = self._clock.now()
        return {name for name, until in self._until.items() if until > now}

    def until(self, name: str) -> float:
        """Return the end of a target's back-off, 0 if there is none; it may have passed."""
        return self._until.get(name, 0.0)

    def record(self, name: str, until: float) -> bool:
        """Record a request to back off, which never shortens another; return whether it begins."""
        new = name not in self.names
        self._until[name] = max(until, self._until.get(name, until))
        return new

    def expire(self) -> bool:
        """Drop back-offs that are over; return whether there were any."""
        expired = self._until.keys() - self.names
        for name in expired:
            del self._until[name]
        return bool(expired)

    def retain(self, names: Iterable[str]) -> None:
        """Drop the state of all other targets."""
        for name in self._until.keys() - set(names):
            del self._until[name]
