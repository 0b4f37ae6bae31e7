"""Tests of parsing the header fields of a request."""

from __future__ import annotations

import io
import unittest

from loomyard_router.callers.header_fields import MAX_FIELDS, read_header_fields


def read(data: bytes):  # noqa: ANN201
    return read_header_fields(io.BytesIO(data))


class HeaderFieldsTest(unittest.TestCase):
    def test_fields_keep_their_order_and_are_found_in_any_case(self) -> None:
        fields = read(b"Host: a\r\nX-One: 1\r\nx-one:2 \r\nContent-Type:\ttext/x\r\n\r\nbody")
        self.assertEqual(
            [("Host", "a"), ("X-One", "1"), ("x-one", "2"), ("Content-Type", "text/x")],
            fields.items(),
        )
        self.assertEqual("1", fields.get("X-ONE"))
        self.assertEqual(["1", "2"], fields.get_all("x-one"))
        self.assertEqual([], fields.get_all("none", []))
        self.assertEqual(("text/x", "a"), (fields.typeheader, fields.getheader("host")))

    def test_the_body_after_the_empty_line_is_not_read(self) -> None:
        file = io.BytesIO(b"A: 1\r\n\r\nbody")
        read_header_fields(file)
        self.assertEqual(b"body", file.read())

    def test_a_folded_line_belongs_to_the_field_before(self) -> None:
        self.assertEqual([("A", "1 2")], read(b"A: 1\r\n  2\r\n\r\n").items())

    def test_a_malformed_field_is_refused(self) -> None:
        for data in (b"no colon", b"A : 1", b": 1", b"A\x00: 1", b" A: 1", b"\xe4: 1"):
            with self.subTest(data=data), self.assertRaises(ValueError):
                read(data + b"\r\n\r\n")

    def test_too_many_or_too_long_fields_are_refused(self) -> None:
        with self.assertRaises(ValueError):
            read(b"A: 1\r\n" * (MAX_FIELDS + 1) + b"\r\n")
        self.assertTrue(read(b"A: " + b"1" * 70_000 + b"\r\n\r\n").status)

    def test_a_field_can_be_deleted(self) -> None:
        fields = read(b"A: 1\r\nContent-Length: 5\r\n\r\n")
        del fields["content-length"]
        self.assertEqual(([("A", "1")], None), (fields.items(), fields.get("Content-Length")))


if __name__ == "__main__":
    unittest.main()
