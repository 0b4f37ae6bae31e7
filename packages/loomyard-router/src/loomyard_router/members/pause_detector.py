"""Detection of pauses of this process."""

from __future__ import annotations

from attrs import define


@define(eq=False, kw_only=True)
class PauseDetector:
    """Compare when a timer fired with when it was due.

    A delay of more than ``bound`` seconds is a pause of the process; one of up to ``slack`` seconds
    is ignored.
    """

    slack: float
    bound: float
    due: float

    def check(self, now: float) -> tuple[float, bool]:
        """Return by how many seconds the timer was late, and whether that is a pause."""
        late = now - self.due
        return (late, late > self.bound) if late > self.slack else (0.0, False)
