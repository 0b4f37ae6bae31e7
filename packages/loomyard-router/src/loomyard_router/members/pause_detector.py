"""Notice that this process was slow or stood still."""

from __future__ import annotations

from attrs import define


@define(eq=False, kw_only=True)
class PauseDetector:
    """Compare when a timer woke with when it was due; beyond ``bound`` seconds is a pause.

    Less than ``slack`` seconds are no lateness.
    """

    slack: float
    bound: float
    due: float

    def check(self, now: float) -> tuple[float, bool]:
        """Return by how many seconds this tick is late, and whether that is a pause."""
        late = now - self.due
        return (late, late > self.bound) if late > self.slack else (0.0, False)
