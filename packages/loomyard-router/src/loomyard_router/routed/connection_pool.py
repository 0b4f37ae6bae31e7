"""Pool of idle connections to targets."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from attrs import define

from loomyard_router.routed.deadline_watch import DeadlineWatch
from loomyard_router.routed.target_connection import TargetConnection, connect

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_incarnation import TargetLife

CONNECT_SECONDS = 0.4
MAX_IDLE_SECONDS = 8.0
# By so much an idle connection is closed before the keep-alive timeout that the target states.
IDLE_MARGIN_SECONDS = 0.5
# After a longer idle time the target may have dropped the connection. A request that can't be
# retried would be lost on it.
FRESH_SECONDS = 1.0
MAX_IDLE_PER_TARGET = 16
_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)")


@define(eq=False)
class _Idle:
    connection: TargetConnection
    since: float
    until: float


class ConnectionPool:
    """Idle connections by target incarnation; the most recently used one is reused first."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._watch = DeadlineWatch(clock)
        self._idle: dict[TargetLife, list[_Idle]] = {}
        self.opened = 0

    def acquire(self, target: AnnouncedTarget, *, repeatable: bool) -> TargetConnection:
        """Return an idle or a new connection. Errors: ``OSError``; nothing was sent then."""
        now = self._clock.now()
        idle = self._idle.get(target.incarnation, [])
        while idle:
            kept = idle.pop()
            fresh = now - kept.since <= FRESH_SECONDS
            if now < kept.until and (repeatable or fresh) and kept.connection.idle_and_open:
                return kept.connection
            kept.connection.close()
        return self.open(target, CONNECT_SECONDS)

    def open(self, target: AnnouncedTarget, seconds: float) -> TargetConnection:
        """Open a connection within ``seconds``. Errors: ``OSError``."""
        self.opened += 1
        return connect(target.address, self._clock, seconds, self._watch)

    def release(self, target: AnnouncedTarget, connection: TargetConnection) -> None:
        """Keep a connection if it is reusable, and close it otherwise."""
        if connection.reusable:
            self._keep(target, connection, _idle_seconds(connection.headers))
        else:
            connection.close()

    def release_unused(self, target: AnnouncedTarget, connection: TargetConnection) -> None:
        """Keep a connection on which nothing was sent."""
        self._keep(target, connection, MAX_IDLE_SECONDS)

    def retain(self, known: set[TargetLife]) -> None:
        """Close expired connections and those to incarnations other than the known ones."""
        now = self._clock.now()
        for incarnation, idle in list(self._idle.items()):
            kept = [one for one in idle if incarnation in known and now < one.until]
            for one in idle:
                if one not in kept:
                    one.connection.close()
            if kept:
                self._idle[incarnation] = kept
            else:
                del self._idle[incarnation]

    def close_idle(self) -> None:
        """Close all connections that carry no exchange."""
        self.retain(set())

    def _keep(self, target: AnnouncedTarget, connection: TargetConnection, seconds: float) -> None:
        """Keep a connection for up to ``seconds``, or close it where the target has enough."""
        if connection.closed:
            # The target closed it while the request waited; its descriptor may be another's now.
            return
        idle = self._idle.setdefault(target.incarnation, [])
        if len(idle) >= MAX_IDLE_PER_TARGET:
            idle[:] = [one for one in idle if not one.connection.closed]
        if len(idle) >= MAX_IDLE_PER_TARGET:
            connection.close()
            return
        connection.mark_idle()
        now = self._clock.now()
        idle.append(_Idle(connection, now, now + seconds))


def _idle_seconds(headers: list[tuple[str, str]]) -> float:
    for name, value in headers:
        found = _TIMEOUT.search(value) if name.lower() == "keep-alive" else None
        if found:
            return min(MAX_IDLE_SECONDS, int(found[1]) - IDLE_MARGIN_SECONDS)
    return MAX_IDLE_SECONDS
