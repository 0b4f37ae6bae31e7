"""Background tasks that are restarted or recorded when an exception ends them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from gevent.monkey import get_original

from loomyard_router.memory.shortages import note_shortage
from loomyard_router.supervision.failures import record_failure
from loomyard_router.supervision.guard import call_guarded

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock

MIN_RESTART_SECONDS = 0.1
MAX_RESTART_SECONDS = 1.0
_stand_still = get_original("time", "sleep")


def start_supervised(
    part: str, clock: Clock, run: Callable[..., None], *arguments: Any
) -> gevent.Greenlet:
    """Start a task that has a duty as long as the router runs; restart it after an exception.

    Pauses between restarts double from ``MIN_RESTART_SECONDS`` to ``MAX_RESTART_SECONDS``.
    """
    return _with_reserve(lambda: gevent.spawn(_run_supervised, part, clock, run, arguments))


def start_task(
    part: str, run: Callable[..., Any], *arguments: Any, **options: Any
) -> gevent.Greenlet:
    """Start a task that ends by itself; record an exception that ends it."""
    return _with_reserve(lambda: gevent.spawn(_run_once, part, run, arguments, options))


def start_task_later(
    seconds: float, part: str, run: Callable[..., Any], *arguments: Any
) -> gevent.Greenlet:
    """Start such a task after some seconds."""
    return _with_reserve(lambda: gevent.spawn_later(seconds, _run_once, part, run, arguments, {}))


def run_soon(part: str, function: Callable[..., object], *arguments: Any) -> None:
    """Call a function, which must not block, in the next turn of the event loop."""
    gevent.get_hub().loop.run_callback(call_guarded, part, function, *arguments)


def _with_reserve(start: Callable[[], gevent.Greenlet]) -> gevent.Greenlet:
    """Start a task once more where there was no memory; the reserve is free by then.

    Callers rely on the task, such as for the end of a state that they are in.
    """
    try:
        return start()
    except MemoryError as error:
        note_shortage(error)
        return start()


def _run_supervised(
    part: str, clock: Clock, run: Callable[..., None], arguments: tuple[Any, ...]
) -> None:
    pause = MIN_RESTART_SECONDS
    while True:
        started_at = clock.now()
        try:
            run(*arguments)
        except Exception as error:  # the duty goes on
            record_failure(part, error)
        else:
            return
        if clock.now() - started_at > MAX_RESTART_SECONDS:
            pause = MIN_RESTART_SECONDS
        _rest(clock, pause)
        pause = min(MAX_RESTART_SECONDS, 2.0 * pause)


def _rest(clock: Clock, seconds: float) -> None:
    """Sleep; without memory for a timer the process itself stands still for a moment."""
    try:
        clock.sleep(seconds)
    except MemoryError as error:
        note_shortage(error)
        _stand_still(MIN_RESTART_SECONDS)


def _run_once(
    part: str, run: Callable[..., Any], arguments: tuple[Any, ...], options: dict[str, Any]
) -> Any:
    try:
        return run(*arguments, **options)
    except Exception as error:  # otherwise the event loop would print it and nothing count it
        record_failure(part, error)
        return None
