"""Check by connection and health path whether a target has ended after a failed answer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard_router.memory.shortages import note_shortage
from loomyard_router.routed.target_connection import ExchangeBrokenError

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.routed.connection_pool import ConnectionPool
    from loomyard_router.routed.http_codecs import TargetCodec
    from loomyard_router.routed.target_connection import TargetConnection
    from loomyard_router.routes.route_table_holder import RouteTableHolder

logger = logging.getLogger(__name__)

# The VM of a process that has ended refuses a connection within one round trip.
CONNECT_SECONDS = 0.15
# A live target answers at once, or when a slot is free; a timeout does not count as its end.
ANSWER_SECONDS = 0.3
# Token bucket for health checks: each costs as much as a regular one, and when answers are lost by
# the hundred, few checks find anything.
PROBES_PER_SECOND = 2.0
PROBE_BURST = 4.0


class LivenessProbe:
    """Opens a connection, and if it is accepted, asks which instance answers there.

    A proxy in front of a target may accept connections for a process that has ended. The answer to
    the health check is then an error of the proxy or names another instance. Timeouts and broken
    connections prove nothing, since an overloaded or partitioned target shows the same.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        registry: TargetRegistry,
        pool: ConnectionPool,
        codec: TargetCodec,
        holder: RouteTableHolder,
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._pool = pool
        self._codec = codec
        self._holder = holder
        self._tokens = PROBE_BURST
        self._refilled_at = clock.now()

    def has_ended(self, target: AnnouncedTarget) -> bool:
        """Return whether this incarnation is known to have ended; waits for the answer."""
        try:
            connection = self._pool.open(target, CONNECT_SECONDS)
        except ConnectionRefusedError:
            return True
        except (OSError, MemoryError) as error:
            note_shortage(error)
            logger.debug("target unreachable after a failed answer: %r", error)
            return False
        path = self._health_path(target)
        if not path or self._registry.is_backing_off(target) or not self._take_token():
            self._pool.release_unused(target, connection)
            return False
        return self._is_replaced(target, connection, path)

    def has_refused(self, target: AnnouncedTarget) -> bool:
        """Return whether the target refuses a connection; an accepted one goes to the pool."""
        try:
            connection = self._pool.open(target, CONNECT_SECONDS)
        except ConnectionRefusedError:
            return True
        except (OSError, MemoryError) as error:
            note_shortage(error)
            logger.debug("target unreachable after the end of an answer: %r", error)
            return False
        self._pool.release_unused(target, connection)
        return False

    def _is_replaced(
        self, target: AnnouncedTarget, connection: TargetConnection, path: str
    ) -> bool:
        deadline = self._clock.now() + ANSWER_SECONDS
        try:
            connection.send(self._codec.encode_health_check(path, target), b"", "GET", deadline)
            connection.read_head(deadline)
        except ExchangeBrokenError as error:
            logger.debug("health check failed after a failed answer: %r", error)
            connection.close()
            return False
        answer = self._codec.decode_health_answer(connection.status, connection.headers)
        connection.drain(deadline)
        self._pool.release(target, connection)
        if answer.instance_id is not None and answer.instance_id != target.id:
            return True
        self._registry.apply_notice(target, answer.notice)
        return False

    def _health_path(self, target: AnnouncedTarget) -> str:
        table = self._holder.table
        terms = None if table is None else table.services.get(target.service)
        return "" if terms is None else terms.health_path

    def _take_token(self) -> bool:
        now = self._clock.now()
        refilled = (now - self._refilled_at) * PROBES_PER_SECOND
        self._tokens = min(PROBE_BURST, self._tokens + refilled)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
