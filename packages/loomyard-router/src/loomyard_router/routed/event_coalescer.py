"""How soon a router that is behind turns to a stream again."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from loomyard.clock import Clock

# Ready tasks that wait for longer wait for each other: then each turn spared serves all.
BEHIND_SECONDS = 0.015
# The part of the time that an event may take from its target to its caller; as much again is left
# for the queue of ready tasks, and a pause between two events stays under what users allow.
HELD_PART = 0.4


@frozen(kw_only=True)
class EventCoalescer:
    """Let events that come meanwhile travel with the next one, while the router is behind.

    Events come every 35 ms and each wakes a task, is parsed and written, for 80 microseconds; a
    third of what a router under load does. ``most`` is the time that users allow an event from its
    target to its caller, in seconds; with 0 nothing is held.
    """

    clock: Clock
    max_delay: float
    lag: Callable[[], float]

    def hold(self) -> None:
        """Wait before the next read of a stream, if this router is behind."""
        if self.max_delay and self.lag() > BEHIND_SECONDS:
            self.clock.sleep(HELD_PART * self.max_delay)
