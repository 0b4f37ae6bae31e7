"""Pass connections of callers on to other routers while this one lags."""

from __future__ import annotations

import errno
import logging
import math
import socket as sockets
from collections import Counter
from typing import TYPE_CHECKING

import gevent
from gevent.socket import socket

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.events import Event, emit
from loomyard.util.tcp import disable_nagle, set_keepalive
from loomyard_router.memory.shortages import note_shortage
from loomyard_router.offload.preamble import encode_preamble
from loomyard_router.offload.splice import PART, WRITABLE, Splice
from loomyard_router.supervision.guard import call_guarded
from loomyard_router.supervision.tasks import start_task_later

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.callers.in_flight import InFlight
    from loomyard_router.offload.offload_candidates import OffloadAddress, OffloadCandidates
    from loomyard_router.offload.offload_share import OffloadShare

logger = logging.getLogger(__name__)

CONNECT_SECONDS = 0.1
# A connection within the data centre that takes longer than this to open waits for this router,
# whose sockets alone fill its core. Then more connections would only delay those it has.
SLOW_CONNECT_SECONDS = 0.03
# For so long a slow one counts.
SLOW_SECONDS = 0.25
LOG_SECONDS = 1.0
LOST = Fault(
    code=ResultCode.ANSWER_LOST,
    detail="this router or the one that took the request ended",
    executed=Executed.UNKNOWN,
)


class Offloader:
    """Join connections of callers with connections to routers that do not lag.

    The other router serves the request as if its caller had come there; this one copies bytes, at
    a fraction of the work. ``table_version`` returns the version of the configuration in force
    here, not positive for none; ``pause`` and ``lost_answer`` are those of ``Splice``.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        share: OffloadShare,
        candidates: OffloadCandidates,
        in_flight: InFlight,
        max_connections: int,
        table_version: Callable[[], int],
        pause: Callable[[], float],
        lost_answer: bytes,
    ) -> None:
        self._clock = clock
        self._share = share
        self._candidates = candidates
        self._in_flight = in_flight
        self._max_connections = max_connections
        self._table_version = table_version
        self._pause = pause
        self._lost_answer = lost_answer
        self._splices: set[Splice] = set()
        self._connecting: set[_Connect] = set()
        self._full_until = -math.inf
        self._counts: Counter[str] = Counter()
        self.total = 0

    def __len__(self) -> int:
        return len(self._splices) + len(self._connecting)

    @property
    def is_active(self) -> bool:
        """Tell whether any new connection may be passed on now."""
        return self._share.share > 0.0

    def draw(self) -> bool:
        """Tell whether the next connection is better passed on than served here."""
        return self._share.draw()

    def offer(
        self, caller: socket, *, ended: Callable[[], None], failed: Callable[[], None]
    ) -> bool:
        """Pass on a connection of which nothing was read; false where no router can take it.

        It must not block. Later, ``ended`` tells that both connections are closed, or ``failed``
        that the other router did not accept and that the connection is as before.
        """
        if self._clock.now() < self._full_until:
            return False
        if self._table_version() <= 0 or len(self) >= self._max_connections:
            return False
        chosen = self._candidates.choose()
        if chosen is None:
            return False

        started_at = self._clock.now()

        def connected(router: socket) -> None:
            self._connecting.discard(connect)
            if self._clock.now() - started_at > SLOW_CONNECT_SECONDS:
                self._full_until = self._clock.now() + SLOW_SECONDS
            self._join(caller, router, chosen, ended)

        def refused() -> None:
            self._connecting.discard(connect)
            self._candidates.exclude(chosen.name)
            failed()

        try:
            connect = _Connect(chosen.address, connected, refused)
        except (OSError, MemoryError) as error:
            note_shortage(error)
            return False
        self._connecting.add(connect)
        connect.start()
        return True

    def end_requests(self) -> None:
        """End the requests that were passed on, as this router ends."""
        for splice in list(self._splices):
            splice.end()

    def stop(self) -> None:
        """Close all connections at once."""
        for connect in list(self._connecting):
            connect.stop()
        for splice in list(self._splices):
            splice.close()

    def _join(
        self, caller: socket, router: socket, chosen: OffloadAddress, ended: Callable[[], None]
    ) -> None:
        self._record(chosen.name)
        self._in_flight.record_start()

        def end(splice: Splice) -> None:
            self._splices.discard(splice)
            self._in_flight.record_end()
            ended()

        splice = Splice(
            caller, router, pause=self._pause, on_end=end, lost_answer=self._lost_answer
        )
        self._splices.add(splice)
        splice.start(encode_preamble(self._table_version()))

    def _record(self, name: str) -> None:
        if not self._counts:
            start_task_later(LOG_SECONDS, "offload", self._write_log)
        self._counts[name] += 1
        self.total += 1

    def _write_log(self) -> None:
        counts, self._counts = self._counts, Counter()
        emit(
            logger,
            Event.CONNECTIONS_OFFLOADED,
            connections=counts.total(),
            open=len(self._splices),
            routers=dict(counts),
        )


class _Connect:
    """Open a connection in callbacks of the event loop."""

    def __init__(
        self,
        address: tuple[str, int],
        connected: Callable[[socket], None],
        refused: Callable[[], None],
    ) -> None:
        self._address = address
        self._connected, self._refused = connected, refused
        self._socket = socket(sockets.AF_INET, sockets.SOCK_STREAM)
        self._socket.settimeout(0.0)
        disable_nagle(self._socket)
        # A VM that vanishes sends no reset.
        set_keepalive(self._socket)
        loop = gevent.get_hub().loop
        self._writable = loop.io(self._socket.fileno(), WRITABLE)
        self._timer = loop.timer(CONNECT_SECONDS)

    def start(self) -> None:
        """Begin to connect; exactly one of the callbacks is called later."""
        self._socket.connect_ex(self._address)
        self._writable.start(call_guarded, PART, self._finish)
        self._timer.start(call_guarded, PART, self._finish, errno.ETIMEDOUT)

    def stop(self) -> None:
        """Give up without a callback."""
        self._close_watchers()
        self._socket.close()

    def _finish(self, error: int = 0) -> None:
        self._close_watchers()
        if self._is_open():
            # Also where the timer came first: the other router accepted, and this one is late.
            error = 0
        else:
            error = error or self._socket.getsockopt(sockets.SOL_SOCKET, sockets.SO_ERROR)
        if error:
            self._socket.close()
            self._refused()
        else:
            self._connected(self._socket)

    def _is_open(self) -> bool:
        try:
            self._socket.getpeername()
        except OSError:
            return False
        return True

    def _close_watchers(self) -> None:
        for watcher in (self._writable, self._timer):
            watcher.stop()
            watcher.close()
