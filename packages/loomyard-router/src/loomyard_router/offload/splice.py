"""Two connections joined to one, without tasks."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import gevent

from loomyard.util.read_buffer import receive
from loomyard.util.tcp import count_unacknowledged, set_reset_on_close
from loomyard_router.offload.deferred_reset import DeferredReset
from loomyard_router.supervision.guard import call_guarded

if TYPE_CHECKING:
    import socket as sockets
    from collections.abc import Callable

PART = "splice"
READABLE, WRITABLE = 1, 2
BLOCK_BYTES = 65536
# A receiver that takes nothing for so long is given up.
STALL_SECONDS = 60.0


class _Flow:
    """Copy the bytes of one socket to another, holding one block at most."""

    def __init__(
        self,
        source: sockets.socket,
        sink: sockets.socket,
        *,
        pause: Callable[[], float],
        source_ended: Callable[[bool], None],
        sink_failed: Callable[[], None],
    ) -> None:
        loop = gevent.get_hub().loop
        self._source, self._sink = source, sink
        self._pause = pause
        self._source_ended, self._sink_failed = source_ended, sink_failed
        self._readable = loop.io(source.fileno(), READABLE)
        self._writable = loop.io(sink.fileno(), WRITABLE)
        self._timer = loop.timer(0.0)
        self._pending = memoryview(b"")
        self.has_begun = False

    @property
    def has_arrived(self) -> bool:
        """Tell whether the sink has acknowledged all bytes."""
        return not self._pending and not count_unacknowledged(self._sink)

    def start(self) -> None:
        """Begin to copy."""
        self._readable.start(call_guarded, PART, self._read)

    def stop(self) -> None:
        """Cease to copy, before either socket is closed."""
        for watcher in (self._readable, self._writable, self._timer):
            watcher.stop()
            watcher.close()

    def write(self, data: bytes) -> None:
        """Send bytes, or keep those that the sink does not take yet."""
        self.has_begun = True
        try:
            sent = self._sink.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._sink_failed()
            return
        self._pending = memoryview(data)[sent:]
        if self._pending:
            self._readable.stop()
            self._writable.start(call_guarded, PART, self._flush)
            self._start_timer(STALL_SECONDS, self._sink_failed)
        elif seconds := self._pause():
            self._readable.stop()
            self._start_timer(seconds, self.start)

    def _read(self) -> None:
        try:
            data = receive(self._source, BLOCK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._source_ended(False)
            return
        if data:
            self.write(data)
        else:
            self._source_ended(True)

    def _flush(self) -> None:
        self._writable.stop()
        self._timer.stop()
        self.start()
        self.write(bytes(self._pending))

    def _start_timer(self, seconds: float, due: Callable[[], None]) -> None:
        self._timer.stop()
        self._timer.close()
        self._timer = gevent.get_hub().loop.timer(seconds)
        self._timer.start(call_guarded, PART, due)


class Splice:
    """Copy between a caller and another router until either closes; then close both.

    It runs in callbacks of the sockets, as a task would wait for its turn behind all ready tasks of
    a router that lags. Both sockets must not block. ``pause`` returns the seconds to wait after
    each block of the answer, so that the next one holds more. A caller gets ``lost_answer`` where
    no byte of another answer came.

    The connection of the caller ends by a reset unless its answer has ended, as the end of the
    connection may be the end of an answer.
    """

    def __init__(
        self,
        caller: sockets.socket,
        router: sockets.socket,
        *,
        pause: Callable[[], float],
        on_end: Callable[[Splice], None],
        lost_answer: bytes = b"",
    ) -> None:
        self._caller, self._router = caller, router
        self._on_end = on_end
        self._lost_answer = lost_answer
        self._is_copying = True
        self._is_closed = False
        self._reset: DeferredReset | None = None
        self._request = _Flow(
            caller,
            router,
            pause=lambda: 0.0,
            source_ended=lambda _: self.close(),
            sink_failed=self._stop_request,
        )
        self._answer = _Flow(
            router,
            caller,
            pause=pause,
            source_ended=self._end_answer,
            sink_failed=self.close,
        )
        self._is_requesting = True

    def start(self, preamble: bytes) -> None:
        """Begin to copy; the other router gets the preamble first."""
        with suppress(OSError):
            set_reset_on_close(self._caller, True)
        self._answer.start()
        self._request.start()
        self._request.write(preamble)

    def close(self) -> None:
        """Close both connections at once, before the answer has ended."""
        self._stop_copying()
        self._close_caller()

    def end(self) -> None:
        """Close both connections before the answer has ended, after what came of it."""
        self._end_answer(False)

    def _stop_request(self) -> None:
        # The other router may have answered before it closed; the rest of the answer counts.
        if self._is_requesting:
            self._is_requesting = False
            self._request.stop()

    def _end_answer(self, is_orderly: bool) -> None:
        if not self._is_copying:
            return
        # The kernel reports a reset once. Where a send of the request is told of it, a read sees
        # what looks like an orderly end.
        is_whole = is_orderly and self._is_requesting and self._request.has_arrived
        if self._lost_answer and not self._answer.has_begun:
            is_whole = True
            with suppress(OSError):
                self._caller.send(self._lost_answer)
        self._stop_copying()
        if is_whole:
            with suppress(OSError):
                set_reset_on_close(self._caller, False)
            self._close_caller()
        else:
            self._reset = DeferredReset(self._caller, self._close_caller)
            self._reset.start()

    def _stop_copying(self) -> None:
        if self._is_copying:
            self._is_copying = False
            self._stop_request()
            self._answer.stop()
            self._router.close()

    def _close_caller(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if self._reset is not None:
            self._reset.stop()
        self._caller.close()
        self._on_end(self)
