"""Notice that this process was slow or stood still."""

from __future__ import annotations

from attrs import define


@define(eq=False, kw_only=True)
class PauseWatch:
    """Compare a timer of ``interval`` seconds with the clock; beyond ``bound`` is a pause."""

    interval: float
    bound: float
    ticked_at: float

    def tick(self, now: float) -> tuple[float, bool]:
        """Return by how many seconds this tick is late, and whether that is a pause."""
        late = now - self.ticked_at - self.interval
        self.ticked_at = now
        if late <= self.interval:
            return 0.0, False
        return late, late > self.bound
