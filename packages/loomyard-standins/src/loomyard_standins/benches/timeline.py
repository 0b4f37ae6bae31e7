"""Start and end of the phases of a run, in seconds since its start."""

from __future__ import annotations

from enum import Enum

import numpy as np
from attrs import frozen

from loomyard_standins.benches.trace import BUCKET_SECONDS

WARM_UP_SECONDS = 4.0
SETTLE_SECONDS = 2.0


class Phase(Enum):
    """Phase of a run; from ``KILLED`` on the log service is down."""

    CALM = "calm"
    FLOOD = "flood"
    KILLED = "router_killed"
    RESTARTED = "router_restarted_empty"
    PARTITIONED = "partition"
    HEALED = "partition_healed"


FAULT_PHASES = (Phase.KILLED, Phase.RESTARTED, Phase.PARTITIONED, Phase.HEALED)


@frozen(kw_only=True)
class Timeline:
    """Seconds of the calm phase, the flood phase and each fault phase (0: no faults)."""

    calm: float
    flood: float
    event: float = 0.0

    @property
    def phases(self) -> tuple[Phase, ...]:
        """Return the phases of this run, in order."""
        return (Phase.CALM, Phase.FLOOD, *(FAULT_PHASES if self.event else ()))

    @property
    def end(self) -> float:
        """Return the length of the run."""
        return self.start_of(self.phases[-1]) + self._length(self.phases[-1])

    def start_of(self, phase: Phase) -> float:
        """Return the start of a phase."""
        earlier_phases = self.phases[: self.phases.index(phase)]
        return WARM_UP_SECONDS + sum(self._length(earlier) for earlier in earlier_phases)

    def end_of(self, phase: Phase) -> float:
        """Return the end of a phase."""
        return self.start_of(phase) + self._length(phase)

    def window(self, start: float, stop: float) -> np.ndarray:
        """Return a mask of the buckets that begin in ``start`` <= t < ``stop``."""
        bucket_starts = np.arange(round(self.end / BUCKET_SECONDS)) * BUCKET_SECONDS
        return (bucket_starts >= start) & (bucket_starts < stop)

    def _length(self, phase: Phase) -> float:
        lengths = {Phase.CALM: self.calm, Phase.FLOOD: self.flood}
        return lengths.get(phase, self.event)
