"""Wait for a result until a deadline of an injected clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

if TYPE_CHECKING:
    from gevent.event import AsyncResult

    from loomyard.clock import Clock


def wait_result(result: AsyncResult, deadline: float, clock: Clock) -> object | None:
    """Return the result, or ``None`` at the deadline."""
    if not result.ready():
        wait_any([result], deadline, clock)
    return result.value if result.ready() else None


def wait_any(waited: list[Any], deadline: float, clock: Clock) -> None:
    """Wait until one of some events or results is there, or the deadline."""
    left = deadline - clock.now()
    if left <= 0:
        return
    timer = gevent.spawn(clock.sleep, left)
    gevent.wait([*waited, timer], count=1)
    timer.kill(block=False)
