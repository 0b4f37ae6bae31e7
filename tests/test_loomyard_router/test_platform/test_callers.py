"""What of a caller's headers reaches a target."""

from __future__ import annotations

import unittest

from loomyard_router.platform.callers import PlatformCallers

OWN = [
    ("Loomyard-Attempt-Id", "9c41"),
    ("loomyard-model", "m"),
    ("Loomyard-Token-Usage", "1460,80"),
    ("Loomyard-Prompt-Prefix", "5c1e:800,e440:250"),
    ("Loomyard-Length-Hint", "60"),
]


def passed(*headers: tuple[str, str]) -> list[tuple[str, str]]:
    """Return what is passed of headers that stand between the caller's own."""
    return PlatformCallers().decode_request_head([*OWN, *headers], 0.0).unwrap().forwarded_headers


class PassedHeadersTest(unittest.TestCase):
    """A target obeys the platform's headers, so a caller may set only those meant for callers."""

    def test_headers_meant_for_callers_pass_as_they_are(self) -> None:
        self.assertEqual(passed(), OWN)
        self.assertEqual(passed(("Accept", "text/event-stream"))[-1][0], "Accept")

    def test_orders_to_a_target_are_never_a_callers(self) -> None:
        for name in (
            "Loomyard-Hold",
            "Loomyard-Pin-Ms",
            "Loomyard-Kv-Backup",
            "Kv-From",
            "Kv-Fetch",
        ):
            with self.subTest(name):
                self.assertEqual(passed((name, "1")), OWN)
                self.assertEqual(passed((name.upper(), "1"), (name.lower(), "2")), OWN)
                self.assertEqual(passed((name, "1"), (name, "2"), ("Connection", name)), OWN)

    def test_a_platform_header_that_is_not_known_is_not_passed(self) -> None:
        self.assertEqual(passed(("Loomyard-Of-Next-Year", "1"), ("kv-anything", "2")), OWN)

    def test_what_the_router_words_itself_is_not_passed(self) -> None:
        words = ["Loomyard-Tenant", "Loomyard-Expect-Instance", "Loomyard-Deadline-Ms"]
        self.assertEqual(passed(*[(name, "7") for name in words]), OWN)

    def test_connection_names_what_ends_here_but_not_the_request_itself(self) -> None:
        named = ("Connection", "X-Hop, Loomyard-Model, Loomyard-Attempt-Id")
        self.assertEqual(passed(named, ("X-Hop", "1"), ("X-End", "2")), [*OWN, ("X-End", "2")])

    def test_each_connection_header_counts(self) -> None:
        named = [("Connection", "X-One"), ("X-One", "1"), ("Connection", "X-Two"), ("X-Two", "2")]
        self.assertEqual(passed(*named), OWN)


if __name__ == "__main__":
    unittest.main()
