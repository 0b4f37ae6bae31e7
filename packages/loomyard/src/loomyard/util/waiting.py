"""Waiting for results and events with deadlines of an injected clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

if TYPE_CHECKING:
    from gevent.event import AsyncResult

    from loomyard.clock import Clock


def wait_result(result: AsyncResult, deadline: float, clock: Clock) -> object | None:
    """Wait for a result and return it, or ``None`` if the deadline passes first."""
    if not result.ready():
        wait_any([result], deadline, clock)
    return result.value if result.ready() else None


def wait_any(events: list[Any], deadline: float, clock: Clock) -> None:
    """Wait until one of the events or results is ready or the deadline passes."""
    left = deadline - clock.now()
    if left <= 0:
        return
    timer = gevent.spawn(clock.sleep, left)
    gevent.wait([*events, timer], count=1)
    timer.kill(block=False)
