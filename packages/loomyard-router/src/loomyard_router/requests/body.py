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

    def __iter__(self) -> Body:
        return self

    def __next__(self) -> bytes:
        return next(self._blocks)

    def close(self) -> None:
        """Close the body, also one of which nothing was read."""
        ended, self._ended = self._ended, None
        self._blocks.close()
        if ended is not None:
            ended()
