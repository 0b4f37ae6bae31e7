"""An answer of a fake target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable


class FakeAnswer:
    """Chunks that are read one at a time; ``broken`` answers end with a fault."""

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
        """Tell whether the answer is still on its way."""
        return not (self._exhausted or self.closed)

    def break_off(self) -> None:
        """Break the connection now."""
        self._chunks.clear()
        self._broken = True

    def call_at_end(self, action: Callable[[], None]) -> None:
        """Call once all is read."""
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
