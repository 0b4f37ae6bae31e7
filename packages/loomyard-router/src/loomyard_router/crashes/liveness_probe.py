"""Find out whether a target that broke an answer off has ended."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard_router.routed.target_connection import ExchangeBrokenError

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.routed.connection_pool import ConnectionPool
    from loomyard_router.routed.http_codecs import TargetCodec
    from loomyard_router.routed.target_connection import TargetConnection
    from loomyard_router.routes.table_holder import TableHolder

logger = logging.getLogger(__name__)

# A machine refuses a connection to a process that has ended within a way there and back.
CONNECT_SECONDS = 0.15
# A target that lives answers at once, or when a slot is free; then it is not known to have ended.
ANSWER_SECONDS = 0.3
# Questions that a router asks at most: each has the price of a liveness check, and where answers
# are lost by the hundred few of them tell anything.
ASKS_PER_SECOND = 2.0
MOST_SAVED = 4.0


class LivenessProbe:
    """Try a connection; where one comes up ask who lives there.

    Something in front of a target may accept connections for a process that has ended. What it
    answers names another life, or is an error of its own. Silence and broken connections say
    nothing, since a target that is full or cut off does the same.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        registry: TargetRegistry,
        pool: ConnectionPool,
        codec: TargetCodec,
        holder: TableHolder,
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._pool = pool
        self._dialect = codec
        self._holder = holder
        self._saved = MOST_SAVED
        self._counted_at = clock.now()

    def has_ended(self, target: AnnouncedTarget) -> bool:
        """Tell whether it is known that the target's life is over; waits for its answer."""
        try:
            connection = self._pool.open(target, CONNECT_SECONDS)
        except ConnectionRefusedError:
            return True
        except OSError as error:
            logger.debug("a target that broke an answer off can't be reached: %r", error)
            return False
        path = self._health_path(target)
        if not path or self._registry.is_backing_off(target) or not self._may_ask():
            self._pool.release_unused(target, connection)
            return False
        return self._names_another(target, connection, path)

    def _names_another(
        self, target: AnnouncedTarget, connection: TargetConnection, path: str
    ) -> bool:
        deadline = self._clock.now() + ANSWER_SECONDS
        try:
            connection.send(self._dialect.encode_health_check(path, target), b"", "GET", deadline)
            connection.read_head(deadline)
            while connection.read_block(deadline):
                pass
        except ExchangeBrokenError as error:
            logger.debug("a target that broke an answer off does not say who it is: %r", error)
            connection.close()
            return False
        word = self._dialect.decode_health_answer(connection.status, connection.headers)
        self._pool.release(target, connection)
        if word.instance_id is not None and word.instance_id != target.id:
            return True
        self._registry.apply_notice(target, word.notice)
        return False

    def _health_path(self, target: AnnouncedTarget) -> str:
        table = self._holder.table
        terms = None if table is None else table.services.get(target.service)
        return "" if terms is None else terms.health_path

    def _may_ask(self) -> bool:
        now = self._clock.now()
        earned = (now - self._counted_at) * ASKS_PER_SECOND
        self._saved = min(MOST_SAVED, self._saved + earned)
        self._counted_at = now
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
