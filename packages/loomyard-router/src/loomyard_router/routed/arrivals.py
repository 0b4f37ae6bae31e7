"""Decisions on connections of callers as they are accepted, while this router lags."""

from __future__ import annotations

import socket as sockets
from contextlib import suppress
from typing import TYPE_CHECKING, Any, Protocol

import gevent

from loomyard.util.read_buffer import receive
from loomyard_router.memory.shortages import note_shortage
from loomyard_router.supervision.guard import call_guarded

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent.socket import socket

    from loomyard_router.routed.early_refusal import EarlyRefusal, RefusedEarly

PART = "arrivals"
READABLE = 1
PEEK_BYTES = 65536
# A caller whose first bytes come later than this gets a task that waits for them.
HEAD_SECONDS = 0.1
# For so long the rest of a refused request is read and dropped; most callers have sent it by then.
DISCARD_SECONDS = 1.0


class OffloadsConnections(Protocol):
    """Pass connections on to other routers."""

    @property
    def is_active(self) -> bool:
        """Tell whether any new connection may be passed on now."""

    def draw(self) -> bool:
        """Tell whether the next connection is better passed on than served here."""

    def offer(
        self, caller: socket, *, ended: Callable[[], None], failed: Callable[[], None]
    ) -> bool:
        """Pass on a connection of which nothing was read; false where no router can take it."""


class Arrivals:
    """Refuse accepted connections, pass them on to other routers, or let a task serve them.

    All of it runs in callbacks of the sockets. A task would wait for its turn behind all ready
    tasks, so that a refusal took as long as the router lags and made it lag further.

    ``serve`` starts the task of a connection; ``closed`` is called for any other one.
    """

    def __init__(
        self,
        *,
        refusal: EarlyRefusal,
        offloader: OffloadsConnections | None,
        serve: Callable[[socket, Any], None],
        closed: Callable[[], None],
    ) -> None:
        self._refusal = refusal
        self._offloader = offloader
        self._serve = serve
        self._closed = closed
        self._waiting: set[_Wait] = set()

    @property
    def are_watched(self) -> bool:
        """Tell whether any new connection may be refused or passed on now."""
        offloader = self._offloader
        return self._refusal.enabled or (offloader is not None and offloader.is_active)

    def take(self, sock: socket, address: Any, accepted_at: float) -> None:
        """Decide on a connection, now or as soon as its first bytes are there."""
        sock.settimeout(0.0)
        if self._decide(sock, address, accepted_at):
            return

        def first_bytes() -> None:
            if not self._decide(sock, address, accepted_at):
                self._serve(sock, address)

        self._wait(sock, HEAD_SECONDS, first_bytes, lambda: self._serve(sock, address))

    def stop(self) -> None:
        """Close the connections that wait for their first bytes, or for the rest of a request."""
        for wait in list(self._waiting):
            wait.stop()
            wait.sock.close()

    def _decide(self, sock: socket, address: Any, accepted_at: float) -> bool:
        """Refuse, pass on or serve a connection; false where its first bytes are missing."""
        try:
            first = receive(sock, PEEK_BYTES, sockets.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            first = b""
        if not first:
            self._close(sock)
            return True

        def decide_here() -> None:
            try:
                refused = self._refusal.check(first, accepted_at)
            except MemoryError as error:
                note_shortage(error)
                self._close(sock)
                return
            if refused is None:
                self._serve(sock, address)
            else:
                self._refuse(sock, refused)

        if not self._pass_on(sock, first, decide_here):
            decide_here()
        return True

    def _pass_on(self, sock: socket, first: bytes, failed: Callable[[], None]) -> bool:
        offloader, refusal = self._offloader, self._refusal
        if offloader is None or not refusal.may_be_passed_on(first):
            return False
        # Drawn in any case, which keeps the share up to date.
        is_drawn = offloader.draw()
        if not (is_drawn or refusal.is_refused_for_lag(first)):
            return False
        return offloader.offer(sock, ended=self._closed, failed=failed)

    def _refuse(self, sock: socket, refused: RefusedEarly) -> None:
        try:
            sock.send(refused.answer)
        except OSError:
            self._close(sock)
            return
        self._discard(sock, refused.size)

    def _discard(self, sock: socket, size: int) -> None:
        """Read the rest of a refused request, then close.

        A close with unread data resets the connection, which can destroy the answer in flight.
        """
        try:
            while size > 0 and (data := receive(sock, min(size, PEEK_BYTES))):
                size -= len(data)
        except BlockingIOError:
            self._wait(
                sock,
                DISCARD_SECONDS,
                lambda: self._discard(sock, size),
                lambda: self._close(sock),
            )
            return
        except OSError:
            pass
        self._close(sock)

    def _wait(
        self,
        sock: socket,
        seconds: float,
        readable: Callable[[], None],
        too_late: Callable[[], None],
    ) -> None:
        wait = _Wait(sock, seconds)

        def end(then: Callable[[], None]) -> None:
            wait.stop()
            self._waiting.discard(wait)
            then()

        self._waiting.add(wait)
        wait.start(lambda: end(readable), lambda: end(too_late))

    def _close(self, sock: socket) -> None:
        with suppress(OSError):
            sock.close()
        self._closed()


class _Wait:
    """Wait for bytes on a socket, or until some time has passed."""

    def __init__(self, sock: socket, seconds: float) -> None:
        loop = gevent.get_hub().loop
        self.sock = sock
        self._readable = loop.io(sock.fileno(), READABLE)
        self._timer = loop.timer(seconds)

    def start(self, readable: Callable[[], None], too_late: Callable[[], None]) -> None:
        self._readable.start(call_guarded, PART, readable)
        self._timer.start(call_guarded, PART, too_late)

    def stop(self) -> None:
        for watcher in (self._readable, self._timer):
            watcher.stop()
            watcher.close()
