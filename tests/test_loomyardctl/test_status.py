"""Tests of the judgement of a fleet's status."""

from __future__ import annotations

import argparse
import contextlib
import io
import unittest
from typing import Any

from result import Ok

from loomyardctl.commands import status
from loomyardctl.context import Context
from loomyardctl.output import OutputFormat
from loomyardctl.reply import Reply


def router(name: str, version: int = 7, digest: str = "aa", **fields: Any) -> dict[str, Any]:
    return {"name": name, "version": version, "digest": digest, "ready": True} | fields


class StatusTest(unittest.TestCase):
    def call(self, *routers: dict[str, Any], silent: tuple[str, ...] = ()) -> tuple[int, str]:
        gone = [{"name": name, "detail": "does not answer"} for name in silent]
        reply = Reply(status=200, document={"routers": list(routers), "silent": gone})

        class Client:
            def get(self, path: str) -> Any:
                return Ok(reply)

        arguments = argparse.Namespace(check=True)
        context = Context(client=Client(), output=OutputFormat.TABLE, arguments=arguments)
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = status.run(context)
        return int(code), out.getvalue()

    def test_a_fleet_that_agrees(self) -> None:
        self.assertEqual(self.call(router("a"), router("b"))[0], 0)

    def test_who_lags_differs_or_is_silent_is_named(self) -> None:
        good = [router("a"), router("b")]
        cases = {
            r"c .* behind 7 ": router("c", version=6),
            r"c .* differs ": router("c", digest="bb"),
            r"c .* not ready ": router("c", ready=False),
            r"c .* stopping ": router("c", stopping=True),
        }
        for pattern, odd in cases.items():
            with self.subTest(pattern=pattern):
                code, out = self.call(*good, odd)
                self.assertEqual(code, 1)
                self.assertRegex(out, pattern)
        code, out = self.call(*good, silent=("c",))
        self.assertEqual(code, 1)
        self.assertIn("c: does not answer", out)


if __name__ == "__main__":
    unittest.main()
