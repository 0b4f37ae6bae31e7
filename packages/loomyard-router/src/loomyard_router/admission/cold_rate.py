"""How often work may go to a target while it is cold."""

from __future__ import annotations

from attrs import define

# A moment in which nothing came must not add up to a burst.
MOST_SAVED = 1.0


@define(eq=False)
class ColdRate:
    """A token bucket that begins empty, so that routers which begin together make no burst."""

    per_second: float = 0.0
    _saved: float = 0.0
    _counted_at: float | None = None

    def admits(self, now: float) -> bool:
        """Tell whether one more request may begin; always for a target that is warm."""
        if self.per_second <= 0.0:
            self._saved, self._counted_at = 0.0, None
            return True
        since = 0.0 if self._counted_at is None else now - self._counted_at
        self._counted_at = now
        self._saved = min(MOST_SAVED, self._saved + since * self.per_second)
        return self._saved >= 1.0

    def spend(self) -> None:
        """Count a request that begins."""
        self._saved = max(0.0, self._saved - 1.0)
