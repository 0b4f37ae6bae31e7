"""Log records of what becomes blocked or cleared, once each."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.crashes.attribution import BLOCKING_COUNT
from loomyard_router.crashes.crash_ledger import MAX_RECORDS
from loomyard_router.crashes.suspect import is_part

if TYPE_CHECKING:
    from loomyard_router.crashes.crash_ledger import CrashLedger
    from loomyard_router.crashes.crash_record import CrashRecord

logger = logging.getLogger(__name__)


class BlockLog:
    """Logs blocks of requests and of parts of prompts, and their ends."""

    def __init__(self, ledger: CrashLedger) -> None:
        self._ledger = ledger
        self._requests: set[str] = set()
        self._parts: frozenset[str] = frozenset()
        ledger.subscribe(self._on_change)

    def _on_change(self, record: CrashRecord) -> None:
        if is_part(record.suspect):
            self._log_parts()
        else:
            self._log_request(record)

    def _log_request(self, record: CrashRecord) -> None:
        fingerprint = record.suspect
        if self._ledger.crash_count(fingerprint) >= BLOCKING_COUNT:
            if fingerprint not in self._requests:
                if len(self._requests) >= MAX_RECORDS:
                    # Bounds the set, as records that expire are not removed from it.
                    self._requests.clear()
                self._requests.add(fingerprint)
                emit(
                    logger,
                    Event.REQUEST_BLOCKED,
                    fingerprint=fingerprint,
                    targets=list(record.crashes.values()),
                )
        elif fingerprint in self._requests:
            self._requests.discard(fingerprint)
            emit(logger, Event.REQUEST_CLEARED, fingerprint=fingerprint)

    def _log_parts(self) -> None:
        groups = self._ledger.groups
        blocked = frozenset(part for group in groups for part in group.parts)
        for group in groups:
            if not group.parts <= self._parts:
                emit(logger, Event.PARTS_BLOCKED, parts=sorted(group.parts))
        if self._parts - blocked:
            emit(logger, Event.PARTS_CLEARED, parts=sorted(self._parts - blocked))
        self._parts = blocked
