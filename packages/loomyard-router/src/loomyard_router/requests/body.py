"""Body of an answer that is relayed to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Generator


class Body:
    """Blocks of a body; ``close`` calls ``ended`` once, however the body ends."""

    def __init__(self, blocks: Generator[bytes, None, None], ended: Callable[[], None]) -> None:
        self._blocks = blocks
        self._ended: Callable[[], None] | None = ended
        self._first = b""

    def read_first(self) -> None:
        """Wait for the first block, while a failure can still be answered with a status."""
        self._first = next(self._blocks, b"")

    def __iter__(self) -> Body:
        return self

    def __next__(self) -> bytes:
        if self._first:
            first, self._first = self._first, b""
            return first
        return next(self._blocks)

    def close(self) -> None:
        """Close the body, also one of which nothing was read."""
        ended, self._ended = self._ended, None
        self._blocks.close()
        if ended is not None:
            ended()
