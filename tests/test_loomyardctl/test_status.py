"""Tests of the fleet status and of ``--check``."""

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
    def call(self, *routers: dict[str, Any], unresponsive: tuple[str, ...] = ()) -> tuple[int, str]:
        unanswered = [{"name": name, "detail": "does not answer"} for name in unresponsive]
        reply = Reply(status=200, document={"routers": list(routers), "silent": unanswered})

        class Client:
            def get(self, path: str) -> Any:
                return Ok(reply)

        arguments = argparse.Namespace(check=True)
        context = Context(client=Client(), output=OutputFormat.TABLE, arguments=arguments)
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = status.run(context)
        return int(code), out.getvalue()

    def test_a_fleet_with_equal_versions_and_digests_passes_the_check(self) -> None:
        self.assertEqual(self.call(router("a"), router("b"))[0], 0)

    def test_routers_that_lag_differ_or_do_not_answer_fail_the_check(self) -> None:
        healthy = [router("a"), router("b")]
        cases = {
            r"c .* behind 7 ": router("c", version=6),
            r"c .* differs ": router("c", digest="bb"),
            r"c .* not ready ": router("c", ready=False),
            r"c .* stopping ": router("c", stopping=True),
        }
        for pattern, faulty in cases.items():
            with self.subTest(pattern=pattern):
                code, out = self.call(*healthy, faulty)
                self.assertEqual(code, 1)
                self.assertRegex(out, pattern)
        code, out = self.call(*healthy, unresponsive=("c",))
        self.assertEqual(code, 1)
        self.assertIn("c: does not answer", out)


if __name__ == "__main__":
    unittest.main()
