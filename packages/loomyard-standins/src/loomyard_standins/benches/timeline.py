"""When the parts of a run begin and end, in seconds since its start."""

from __future__ import annotations

import numpy as np
from attrs import frozen

from loomyard_standins.benches.trace import BUCKET_SECONDS

WARM_UP_SECONDS = 2.0


@frozen(kw_only=True)
class Timeline:
    """Warm-up, calm, flood, in this order."""

    calm: float
    flood: float

    @property
    def flood_from(self) -> float:
        return WARM_UP_SECONDS + self.calm

    @property
    def end(self) -> float:
        return self.flood_from + self.flood

    def window(self, start: float, stop: float) -> np.ndarray:
        """Return for each bucket whether it lies between two times."""
        at = np.arange(round(self.end / BUCKET_SECONDS)) * BUCKET_SECONDS
        return (at >= start) & (at < stop)

    @property
    def calm_window(self) -> np.ndarray:
        return self.window(WARM_UP_SECONDS, self.flood_from)

    @property
    def flood_window(self) -> np.ndarray:
        return self.window(self.flood_from, self.end)
