"""Response body with a callback at its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator


class ReportedBody:
    """Blocks of a body; ``close`` calls ``ended`` once, whether all blocks were sent or not."""

    def __init__(self, body: Iterable[bytes], ended: Callable[[], None]) -> None:
        self._body = body
        self._ended: Callable[[], None] | None = ended

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """Close the wrapped body too."""
        if close := getattr(self._body, "close", None):
            close()
        ended, self._ended = self._ended, None
        if ended is not None:
            ended()
