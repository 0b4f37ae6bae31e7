"""The body of a request, with a callback once all of it has been read."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent.pywsgi import Input


class BodyInput:
    """Pass reads on, and call ``ended`` once when the body has been read to its end."""

    def __init__(self, source: Input, ended: Callable[[], None]) -> None:
        self._source = source
        self._ended: Callable[[], None] | None = ended

    def read(self, length: int | None = None) -> bytes:
        """Return up to so many bytes, none at the end of the body."""
        data = self._source.read(length)
        if self._ended is not None and self._is_at_end:
            ended, self._ended = self._ended, None
            ended()
        return data

    @property
    def _is_at_end(self) -> bool:
        source = self._source
        if source.chunked_input:
            return source.chunk_length == 0
        return source.position >= (source.content_length or 0)
