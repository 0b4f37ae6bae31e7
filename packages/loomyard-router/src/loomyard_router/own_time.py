"""Waits for others from which the time is taken out for which this process was late itself."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from attrs import define, field
from gevent.event import AsyncResult

from loomyard.clock import Clock

if TYPE_CHECKING:
    from typing import Any


# Seconds for which a process that is not behind gives up its turn, to see what reached its sockets.
TURN_SECONDS = 0.001
# A turn that took this much longer says that answers may lie unread; less is the mean of a turn.
NEGLIGIBLE_LAG = 0.005
# Seconds by which a wait is drawn out at most: beyond that a caller is served too late anyway.
MOST_DRAWN_OUT = 0.25


def take_turn(clock: Clock) -> float:
    """Let all run that is ready, also what came to sockets; return by how much that was late."""
    began = clock.now()
    clock.sleep(TURN_SECONDS)
    # A timer fires between two slices of the queue of ready tasks; a task goes to its end.
    gevent.spawn(_do_nothing).join()
    return max(0.0, clock.now() - began - TURN_SECONDS)


@define(eq=False)
class AnswerWait:
    """The wait for one answer: the other side has its time from when the question left.

    An answer counts from when it reached the socket. So once the time is over, this process reads
    what came, and as long as it is behind with that, it judges nobody.
    """

    clock: Clock
    deadline: float
    turn: Callable[[Clock], float] = take_turn
    answer: AsyncResult = field(factory=AsyncResult)
    _asked_at: float = field(init=False)
    _sent_at: float | None = None

    def __attrs_post_init__(self) -> None:
        self._asked_at = self.clock.now()

    @property
    def last(self) -> float:
        """Return when the wait ends however late this process is."""
        return self.deadline + MOST_DRAWN_OUT

    def note_sent(self) -> None:
        """Take in that the question left this process."""
        self._sent_at = self.clock.now()

    def settle(self, value: Any) -> None:
        """Take in the answer."""
        self.answer.set(value)

    def wait(self) -> bool:
        """Wait; tell whether the answer came."""
        until = self.deadline
        while not self._came_by(until):
            due = min(self.last, self._due)
            if due > until:
                until = due
                continue
            lag = self.turn(self.clock)
            if self.answer.ready() or lag <= NEGLIGIBLE_LAG or self.clock.now() >= self.last:
                break
            until = min(self.last, self.clock.now() + lag)
        return self.answer.ready()

    @property
    def _due(self) -> float:
        """Return when the other side has had its time; one that heard nothing yet has it all."""
        since = self.clock.now() if self._sent_at is None else self._sent_at
        return self.deadline + since - self._asked_at

    def _came_by(self, until: float) -> bool:
        self.answer.wait(timeout=max(0.0, until - self.clock.now()))
        return self.answer.ready()


def _do_nothing() -> None:
    pass
