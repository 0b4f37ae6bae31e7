"""Parser of one HTTP answer that detects bytes after its end."""

from __future__ import annotations

from geventhttpclient._parser import HTTPParseError
from geventhttpclient.response import HTTPResponse

from loomyard.util.answer_bounds import FIRST_FINAL_STATUS, BoundedFraming


class AnswerParser(BoundedFraming, HTTPResponse):
    """Parse one answer; ``ended`` is set at its end, ``excess`` where more bytes follow.

    ``ended_by_close`` is set where the end of the connection was the end of the answer, which has
    neither a length nor chunks then.
    """

    def __init__(self, method: str) -> None:
        super().__init__(method=method)
        self.ended = False
        self.ended_by_close = False
        self.excess = False

    @property
    def final(self) -> bool:
        """Tell whether the head of the final answer is complete; interim (1xx) ones are skipped."""
        return self.headers_complete and self.get_code() >= FIRST_FINAL_STATUS

    def feed(self, data: str | bytes) -> None:
        if self.ended:
            self.excess = self.excess or bool(data)
            return
        try:
            super().feed(data)
        except HTTPParseError:
            if not self.ended:
                raise
            self.excess = True
        self.ended_by_close = self.ended and not data

    def read_body(self) -> bytes:
        """Return the bytes of the body that were received since the last call."""
        data = bytes(self._body_buffer)
        self._body_buffer.clear()
        return data

    def _on_message_begin(self) -> None:
        if self.ended:
            self.excess = True
            raise HTTPParseError("bytes after the answer")
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        if self.get_code() >= FIRST_FINAL_STATUS:
            self.ended = True
