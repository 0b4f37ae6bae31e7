"""Detection of member tables that stay different from this router's table."""

from __future__ import annotations

from attrs import define

# Seconds; updates that spread normally reach all routers sooner.
MAX_DIFFERING_SECONDS = 1.5
# Equal digests in a row that end a difference; one router that agrees may lack the same updates.
AGREEMENTS_TO_RESET = 4


@define(eq=False)
class DigestMonitor:
    """Track since when received digests differ from the own one."""

    _differing_since: float | None = None
    _agreements: int = 0
    _peer: str = ""

    def record(self, name: str, *, agreed: bool, now: float) -> None:
        """Record whether the digest in a datagram of a router equals the own one."""
        self._agreements = self._agreements + 1 if agreed else 0
        if agreed:
            if self._agreements >= AGREEMENTS_TO_RESET:
                self._differing_since = None
            return
        self._peer = name
        if self._differing_since is None:
            self._differing_since = now

    def disagreeing_peer(self, now: float) -> str:
        """Return the last router that differed, or "" unless digests differ for too long."""
        differs = (
            self._differing_since is not None
            and now - self._differing_since >= MAX_DIFFERING_SECONDS
        )
        return self._peer if differs else ""

    def reset(self) -> None:
        """Forget the difference, as after a merge of tables."""
        self._differing_since = None
