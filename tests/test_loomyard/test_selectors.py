"""Tests of label selectors."""

from __future__ import annotations

import unittest

from loomyard.selectors import parse_selector


class SelectorTest(unittest.TestCase):
    def check(self, text: str, labels: dict[str, str], expected: bool) -> None:
        with self.subTest(text=text, labels=labels):
            self.assertIs(parse_selector(text).unwrap().matches(labels), expected)

    def test_operators(self) -> None:
        labels = {"tier": "gold", "site": "bogota"}
        self.check("", labels, True)
        self.check("tier=gold", labels, True)
        self.check("tier=gold,site=nabeul", labels, False)
        self.check("tier!=gold", labels, False)
        self.check("tier!=gold", {}, True)
        self.check("site in (bogota, nabeul)", labels, True)
        self.check("site notin (bogota, nabeul)", labels, False)
        self.check("site notin (bogota)", {}, True)
        self.check("tier", labels, True)
        self.check("!tier", labels, False)
        self.check("!tier", {}, True)

    def test_refuses_malformed_selectors(self) -> None:
        for text in ("=", "a in ()", "a in b", "a=(b)", "a,,b", "a in (b", "a=b c"):
            with self.subTest(text=text):
                self.assertTrue(parse_selector(text).is_err())


if __name__ == "__main__":
    unittest.main()
