"""Waits for answers that don't count the event-loop lag of this process as time of the peer."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from attrs import define, field
from gevent.event import AsyncResult

from loomyard.clock import Clock

if TYPE_CHECKING:
    from typing import Any


# Duration of a loop pass without lag: the loop polls its sockets while this task sleeps.
PASS_SECONDS = 0.001
# Lag in seconds; above it answers may lie unread in the sockets. An average pass has less.
NEGLIGIBLE_LAG = 0.005
# Limit of the extension of a wait; a request that waits longer is answered too late anyway.
MAX_EXTENSION_SECONDS = 0.25


def run_loop_pass(clock: Clock) -> float:
    """Run all ready tasks, also those of readable sockets; return the lag of that in seconds."""
    started_at = clock.now()
    clock.sleep(PASS_SECONDS)
    # A timer fires between two slices of the queue of ready tasks, but a new task runs at its end.
    gevent.spawn(_do_nothing).join()
    return max(0.0, clock.now() - started_at - PASS_SECONDS)


@define(eq=False)
class AnswerWait:
    """The wait for one answer, with the full time for the peer from when the request was sent.

    An answer counts as soon as it reached the socket, even if this process has not read it. So when
    the time is over, loop passes read the sockets, and the wait is extended while passes lag.
    """

    clock: Clock
    deadline: float
    loop_pass: Callable[[Clock], float] = run_loop_pass
    answer: AsyncResult = field(factory=AsyncResult)
    _created_at: float = field(init=False)
    _sent_at: float | None = None

    def __attrs_post_init__(self) -> None:
        self._created_at = self.clock.now()

    @property
    def latest_end(self) -> float:
        """Return when the wait ends regardless of the lag of this process."""
        return self.deadline + MAX_EXTENSION_SECONDS

    def record_sent(self) -> None:
        """Record that the request left this process."""
        self._sent_at = self.clock.now()

    def set_answer(self, value: Any) -> None:
        """Set the answer and end the wait."""
        self.answer.set(value)

    def wait(self) -> bool:
        """Wait for the answer; return whether it came."""
        until = self.deadline
        while not self._is_answered_by(until):
            due = min(self.latest_end, self._answer_due)
            if due > until:
                until = due
                continue
            lag = self.loop_pass(self.clock)
            if self.answer.ready() or lag <= NEGLIGIBLE_LAG or self.clock.now() >= self.latest_end:
                break
            until = min(self.latest_end, self.clock.now() + lag)
        return self.answer.ready()

    @property
    def _answer_due(self) -> float:
        """Return when the peer has had its full time, counted from now if nothing was sent yet."""
        sent_at = self.clock.now() if self._sent_at is None else self._sent_at
        return self.deadline + sent_at - self._created_at

    def _is_answered_by(self, until: float) -> bool:
        self.answer.wait(timeout=max(0.0, until - self.clock.now()))
        return self.answer.ready()


def _do_nothing() -> None:
    pass
