"""Wait for a result until a deadline of an injected clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import gevent

if TYPE_CHECKING:
    from gevent.event import AsyncResult

    from loomyard.clock import Clock

T = TypeVar("T")


def wait_result(result: AsyncResult, deadline: float, clock: Clock) -> object | None:
    """Return the result, or ``None`` at the deadline."""
    left = deadline - clock.now()
    if not result.ready() and left > 0:
        timer = gevent.spawn(clock.sleep, left)
        gevent.wait([result, timer], count=1)
        timer.kill(block=False)
    return result.value if result.ready() else None
