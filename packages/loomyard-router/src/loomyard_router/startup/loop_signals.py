"""Signals of a process whose event loop runs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent.event import Event as GeventEvent

# A signal whose wake-up was lost for want of memory is noticed so late at the latest.
LOOK_SECONDS = 1.0

# Like the handlers of signals they belong to the process; a watcher that is dropped handles none.
_watchers: list[Any] = []


def watch_signal(number: int, handler: Callable[[], object]) -> None:
    """Call a function, which must not block, from the event loop for each signal from now on.

    No task is made for a signal, which a process short of memory could not make.
    """
    watcher = gevent.get_hub().loop.signal(number)
    watcher.start(handler)
    _watchers.append(watcher)


def await_stop(stopping: GeventEvent) -> None:
    """Wait for an event that a signal sets."""
    while not stopping.wait(LOOK_SECONDS):
        pass
