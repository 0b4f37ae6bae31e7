"""Keep the target board after a feed of announcements."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.feeds.feed_follower import PEER

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_board import TargetBoard
    from loomyard_router.feeds.keyed_record import KeyedRecord

    Decoder = Callable[[str, bytes], Result[AnnouncedTarget, str]]

logger = logging.getLogger(__name__)


class TargetFeed:
    """The taker of records that announce targets."""

    def __init__(self, board: TargetBoard, decode: Decoder) -> None:
        self._board = board
        self._decode = decode

    def take_listing(self, records: list[KeyedRecord], source: str) -> None:
        self._board.replace_all(self._decoded(records), by_peer=source == PEER)

    def take_records(self, records: list[KeyedRecord]) -> None:
        newest = {record.key: record for record in records}
        dropped = [record.key for record in newest.values() if record.value is None]
        self._board.apply(self._decoded(list(newest.values())), dropped)

    def note_lost(self) -> None:
        self._board.note_store_lost()

    def note_regained(self) -> None:
        self._board.note_store_back()

    def _decoded(self, records: list[KeyedRecord]) -> list[AnnouncedTarget]:
        targets = []
        for record in records:
            if record.value is None:
                continue
            decoded = self._decode(record.key, record.value)
            if decoded.is_err():
                emit(
                    logger,
                    Event.ANNOUNCEMENT_UNREADABLE,
                    target=record.key,
                    detail=decoded.unwrap_err(),
                )
                continue
            targets.append(decoded.unwrap())
        return targets
