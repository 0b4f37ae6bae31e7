"""Detection of peers that close or reset a connection on which bytes are left unread."""

from __future__ import annotations

import select
from contextlib import suppress
from typing import TYPE_CHECKING

import gevent
from gevent import monkey

from loomyard_router.supervision.guard import call_guarded

if TYPE_CHECKING:
    from collections.abc import Callable

READABLE = 1


class HangupWatch:
    """Call back when the peer of a socket hangs up.

    A connection with unread bytes is readable all the time, and the event loop watches for nothing
    else. The kernel reports the hang-up itself once and at any number of connections for the cost
    of those that hang up.
    """

    def __init__(self) -> None:
        # gevent removes the name from the module, as a poll would block the event loop.
        self._epoll = monkey.get_original("select", "epoll")()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._ready = gevent.get_hub().loop.io(self._epoll.fileno(), READABLE)

    def add(self, descriptor: int, hung_up: Callable[[], None]) -> None:
        """Watch a socket, also one whose peer has hung up already; the callback must not block."""
        if not self._callbacks:
            self._ready.start(self._dispatch)
        self._callbacks[descriptor] = hung_up
        self._epoll.register(descriptor, select.EPOLLRDHUP | select.EPOLLET)

    def remove(self, descriptor: int) -> None:
        """Stop to watch a socket, if it is watched; call before the socket is closed."""
        if self._callbacks.pop(descriptor, None) is None:
            return
        with suppress(OSError):
            self._epoll.unregister(descriptor)
        if not self._callbacks:
            self._ready.stop()

    def _dispatch(self) -> None:
        for descriptor, _ in self._epoll.poll(0):
            hung_up = self._callbacks.get(descriptor)
            if hung_up is not None:
                call_guarded("caller presence", hung_up)
