"""Tests of reading the fields and the body of a caller's request."""

from __future__ import annotations

import io
import unittest

from loomyard.errors import ResultCode
from loomyard_router.callers.fields import MAX_BODY, read_body


class ReadBodyTest(unittest.TestCase):
    def read(self, length: str) -> ResultCode | bytes:
        environ = {"CONTENT_LENGTH": length, "wsgi.input": io.BytesIO(b"ab")}
        read = read_body(environ)
        return read.unwrap() if read.is_ok() else read.unwrap_err().code

    def test_a_length_that_is_no_whole_number_is_refused(self) -> None:
        # It raised ValueError, and the caller got no answer.
        for length in (":", "-1", "1e3", "\u00b2", "\u0663"):
            self.assertIs(ResultCode.MALFORMED_REQUEST, self.read(length), length)

    def test_a_length_of_any_size_is_compared_with_the_limit(self) -> None:
        for length in (str(MAX_BODY + 1), "9" * 400, "9" * 5000):
            self.assertIs(ResultCode.BODY_TOO_LARGE, self.read(length))

    def test_a_body_with_a_length_or_chunked_is_read(self) -> None:
        self.assertEqual([b"ab", b"ab"], [self.read("2"), self.read("")])


if __name__ == "__main__":
    unittest.main()
