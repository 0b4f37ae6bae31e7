"""Answers of fake targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable


class FakeAnswer:
    """Answer whose chunks are read one at a time.

    ``before_read`` may block a read; a ``broken`` answer ends with ``ANSWER_INCOMPLETE``.
    """

    def __init__(
        self,
        *,
        attempt_id: str,
        chunks: list[bytes],
        content_type: str,
        before_read: Callable[[], None],
        status: int = 200,
        broken: bool = False,
        after_end: Callable[[], None] = lambda: None,
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        self.status = status
        self.attempt_id = attempt_id
        self.headers = [("Content-Type", content_type), ("Loomyard-Attempt", attempt_id)]
        self.headers += headers or []
        self.closed = False
        self._chunks = list(chunks)
        self._before_read = before_read
        self._broken = broken
        self._after_end = after_end
        self._exhausted = False

    @property
    def open(self) -> bool:
        """Return whether the answer is neither read to its end nor closed."""
        return not (self._exhausted or self.closed)

    def break_off(self) -> None:
        """Drop the unread chunks, so that the next read fails."""
        self._chunks.clear()
        self._broken = True

    def call_at_end(self, action: Callable[[], None]) -> None:
        """Call an action once the answer is read to its end."""
        self._after_end = action

    def read(self) -> Result[bytes, Fault]:
        self._before_read()
        if self._chunks:
            return Ok(self._chunks.pop(0))
        self._exhausted = True
        self._after_end()
        if self._broken:
            return Err(
                Fault(
                    code=ResultCode.ANSWER_INCOMPLETE,
                    detail="the connection broke",
                    executed=Executed.UNKNOWN,
                )
            )
        return Ok(b"")

    def close(self) -> None:
        self.closed = True
