"""Whether the tables of others agree with the own one."""

from __future__ import annotations

from attrs import define

# News that spreads as it should is everywhere before that.
PATIENCE = 1.5
# One that agrees may lack the same.
AGREEMENTS = 4


@define(eq=False)
class Agreement:
    """How long the digests heard have differed from the own one, but for a few."""

    _differs_since: float | None = None
    _agreed: int = 0
    _peer: str = ""

    def note(self, name: str, *, agreed: bool, now: float) -> None:
        """Take in the comparison with the digest of a datagram."""
        self._agreed = self._agreed + 1 if agreed else 0
        if agreed:
            if self._agreed >= AGREEMENTS:
                self._differs_since = None
            return
        self._peer = name
        if self._differs_since is None:
            self._differs_since = now

    def overdue(self, now: float) -> str:
        """Return whose table differed last where tables have differed for too long."""
        differs = self._differs_since is not None and now - self._differs_since >= PATIENCE
        return self._peer if differs else ""

    def reset(self) -> None:
        """Begin to count anew."""
        self._differs_since = None
