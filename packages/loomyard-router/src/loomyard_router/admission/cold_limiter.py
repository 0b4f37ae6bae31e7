"""Limit the rate of requests to a target that is cold."""

from __future__ import annotations

from attrs import define

# Credit does not accumulate while no requests come, so that no burst follows.
MAX_CREDIT = 1.0


@define(eq=False)
class ColdLimiter:
    """Token bucket that starts empty, so that routers which start together cause no burst.

    ``per_second`` is the allowed rate of requests, 0 for a target that is warm.
    """

    per_second: float = 0.0
    _credit: float = 0.0
    _updated_at: float | None = None

    def admits(self, now: float) -> bool:
        """Tell whether one more request may start; always true for a warm target."""
        if self.per_second <= 0.0:
            self._credit, self._updated_at = 0.0, None
            return True
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        self._credit = min(MAX_CREDIT, self._credit + elapsed * self.per_second)
        return self._credit >= 1.0

    def spend(self) -> None:
        """Take the credit of one request."""
        self._credit = max(0.0, self._credit - 1.0)
