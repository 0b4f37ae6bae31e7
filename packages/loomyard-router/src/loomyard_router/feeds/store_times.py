"""What a router knows of the times at which the store accepted the records of a feed."""

from __future__ import annotations

import math

from attrs import define


@define(eq=False)
class StoreTimes:
    """Bounds on times of the store, in seconds of this router's monotonic clock.

    Records carry no time, and a router may read one long after the store accepted it.
    ``read_up_to``: every record that the store accepted before this time has been read.
    ``failed_after``: the store was in reach then, and a call failed after it.
    ``reading_since``: the start of the outstanding read, infinity while there is none.
    ``in_reach_at``: when the store was in reach last before that read.
    """

    read_up_to: float = -math.inf
    failed_after: float = -math.inf
    reading_since: float = math.inf
    in_reach_at: float = -math.inf

    def record_read(self, up_to: float) -> None:
        """Record that everything accepted before a time has been read and applied."""
        self.read_up_to = max(self.read_up_to, up_to)

    def record_failure(self, in_reach_at: float) -> None:
        """Record a failed call and when the store was in reach before it."""
        self.failed_after = max(self.failed_after, in_reach_at)

    def begin_read(self, at: float, in_reach_at: float) -> None:
        """Record that a read was sent, and when the store was in reach before it."""
        self.reading_since = at
        self.in_reach_at = in_reach_at

    def end_read(self) -> None:
        """Record that the outstanding read was answered or failed."""
        self.reading_since = math.inf
