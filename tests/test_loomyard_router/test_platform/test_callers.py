"""Tests of which headers of callers are forwarded to targets."""

from __future__ import annotations

import unittest

from loomyard_router.platform.callers import PlatformCallers

ALLOWED = [
    ("Loomyard-Attempt-Id", "9c41"),
    ("loomyard-model", "m"),
    ("Loomyard-Token-Usage", "1460,80"),
    ("Loomyard-Prompt-Prefix", "5c1e:800,e440:250"),
    ("Loomyard-Length-Hint", "60"),
]


def forwarded(*headers: tuple[str, str]) -> list[tuple[str, str]]:
    """Return the forwarded headers of a request with ``ALLOWED`` and other headers."""
    return (
        PlatformCallers().decode_request_head([*ALLOWED, *headers], 0.0).unwrap().forwarded_headers
    )


class OddNumbersTest(unittest.TestCase):
    # Guards against requests that end with an error of the router because of one number.
    def test_a_header_without_a_finite_number_makes_the_request_malformed(self) -> None:
        names = ("Loomyard-Deadline-Ms", "Loomyard-Length-Hint", "Loomyard-Token-Usage")
        for name in names:
            for value in ("nan", "inf", "-inf", "1e999", "9" * 5000, "x"):
                with self.subTest(name=name, value=value[:10]):
                    headers = [("Loomyard-Attempt-Id", "9c41"), (name, value)]
                    self.assertTrue(PlatformCallers().decode_request_head(headers, 0.0).is_err())


class ForwardedHeadersTest(unittest.TestCase):
    """Targets obey platform headers, so callers may set only those meant for callers."""

    def test_headers_meant_for_callers_are_forwarded_unchanged(self) -> None:
        self.assertEqual(forwarded(), ALLOWED)
        self.assertEqual(forwarded(("Accept", "text/event-stream"))[-1][0], "Accept")

    def test_instructions_to_a_target_are_not_forwarded(self) -> None:
        for name in (
            "Loomyard-Hold",
            "Loomyard-Pin-Ms",
            "Loomyard-Kv-Backup",
            "Kv-From",
            "Kv-Fetch",
        ):
            with self.subTest(name):
                self.assertEqual(forwarded((name, "1")), ALLOWED)
                self.assertEqual(forwarded((name.upper(), "1"), (name.lower(), "2")), ALLOWED)
                self.assertEqual(forwarded((name, "1"), (name, "2"), ("Connection", name)), ALLOWED)

    def test_an_unknown_platform_header_is_not_forwarded(self) -> None:
        self.assertEqual(forwarded(("Loomyard-Of-Next-Year", "1"), ("kv-anything", "2")), ALLOWED)

    def test_headers_that_the_router_writes_itself_are_not_forwarded(self) -> None:
        written = ["Loomyard-Tenant", "Loomyard-Expect-Instance", "Loomyard-Deadline-Ms"]
        self.assertEqual(forwarded(*[(name, "7") for name in written]), ALLOWED)

    def test_connection_drops_hop_by_hop_headers_but_not_caller_headers(self) -> None:
        connection = ("Connection", "X-Hop, Loomyard-Model, Loomyard-Attempt-Id")
        self.assertEqual(
            forwarded(connection, ("X-Hop", "1"), ("X-End", "2")), [*ALLOWED, ("X-End", "2")]
        )

    def test_each_of_several_connection_headers_counts(self) -> None:
        named = [("Connection", "X-One"), ("X-One", "1"), ("Connection", "X-Two"), ("X-Two", "2")]
        self.assertEqual(forwarded(*named), ALLOWED)


class ContinuedStreamTest(unittest.TestCase):
    def test_the_last_event_and_the_first_attempt_are_decoded(self) -> None:
        headers = [*ALLOWED, ("last-event-id", "12"), ("resumes", "9c40")]
        head = PlatformCallers().decode_request_head(headers, 0.0).unwrap()
        self.assertEqual(("12", "9c40"), (head.last_event_id, head.resumed_attempt_id))


if __name__ == "__main__":
    unittest.main()
