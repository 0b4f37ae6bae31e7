"""Delivery of the records of ended claims, with retries until they are in the log."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent

from loomyard.events import Event, emit
from loomyard.external.confirmed_append import backoff_seconds
from loomyard_router.claims.keys import PARTITIONS, partition_of
from loomyard_router.claims.messages import SettleClaims, Settled
from loomyard_router.claims.records import Abandoned, Finished
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.claims.hosting import ClaimHosting

logger = logging.getLogger(__name__)

RECORDS_PER_MESSAGE = 64
# Beyond this number for one partition the oldest is dropped; its outcome then stays unknown.
MAX_UNSETTLED = 2_000
SETTLE_SECONDS = 2.0
STOP_SECONDS = 2.0

Record = Finished | Abandoned


class ClaimSettler:
    """Sends records to the hosts of their partitions, with retries until they are read back."""

    def __init__(self, clock: Clock, hosting: ClaimHosting) -> None:
        self._clock = clock
        self._hosting = hosting
        self._records: list[list[Record]] = [[] for _ in range(PARTITIONS)]
        self._tasks: dict[int, gevent.Greenlet] = {}

    def add(self, record: Record) -> None:
        """Queue a record for delivery."""
        partition = partition_of(record.key)
        records = self._records[partition]
        records.append(record)
        if len(records) > MAX_UNSETTLED:
            emit(logger, Event.CLAIM_END_DROPPED, claim=records.pop(0).claim_id.hex())
        task = self._tasks.get(partition)
        if task is None or task.dead:
            self._tasks[partition] = start_task("claims", self._settle, partition)

    def stop(self) -> None:
        """Wait ``STOP_SECONDS`` for pending records, then drop them."""
        tasks = list(self._tasks.values())
        gevent.joinall(tasks, timeout=STOP_SECONDS)
        gevent.killall(tasks)

    def _settle(self, partition: int) -> None:
        failures = 0
        while records := self._records[partition][:RECORDS_PER_MESSAGE]:
            if self._send(partition, records):
                failures = 0
                done = set(map(id, records))
                kept = [r for r in self._records[partition] if id(r) not in done]
                self._records[partition][:] = kept
                continue
            self._clock.sleep(backoff_seconds(failures))
            failures += 1

    def _send(self, partition: int, records: list[Record]) -> bool:
        message = SettleClaims(
            partition=partition,
            abandoned=[r for r in records if isinstance(r, Abandoned)],
            finished=[r for r in records if isinstance(r, Finished)],
        )
        until = self._clock.now() + SETTLE_SECONDS
        answers = self._hosting.request_partition(partition, message, until)
        return any(isinstance(answer, Settled) and answer.done for answer in answers)
