"""Tests of the stand-in engine over HTTP: cache events, fencing of orders, refusals."""

from __future__ import annotations

import json
import unittest

from loomyard.clock import SystemClock
from loomyard.errors import ResultCode
from loomyard.external.engine import EngineOrder, TargetCall
from loomyard_router.targets.http_engine import make_http_engine
from loomyard_standins.engine import EngineServer

ANSWER_SECONDS = 30.0


class EngineServerTest(unittest.TestCase):
    def start(self, **options: object) -> EngineServer:
        server = EngineServer(model="assistant", step_seconds=0.0001, **options)
        server.start()
        self.addCleanup(server.stop)
        self.engine = make_http_engine(SystemClock())
        return server

    def complete(self, server: EngineServer, prompt: str, model: str = "assistant") -> object:
        body = json.dumps({"model": model, "prompt": prompt, "max_tokens": 1}).encode()
        call = TargetCall(
            attempt_id=f"{prompt}.1",
            url=server.url,
            method="POST",
            path="/v1/completions",
            body=body,
            deadline=SystemClock().now() + ANSWER_SECONDS,
        )
        answer = self.engine.open(call).unwrap()
        while answer.read().unwrap():
            pass
        answer.close()
        return answer

    def test_cache_events_for_stored_and_evicted_prefixes(self) -> None:
        server = self.start(cached_prefixes=1)
        for prompt in ("a", "a", "b"):
            self.complete(server, prompt)
        events = self.engine.cache_events(server.url, 0).unwrap()
        self.assertEqual(
            [(e.sequence, e.stored) for e in events], [(1, True), (2, True), (3, False)]
        )
        self.assertEqual(events[0].prefix, events[2].prefix)
        self.assertEqual((server.cache.hits, server.cache.misses), (1, 2))

    def test_order_with_an_old_fencing_number(self) -> None:
        for checks in (True, False):
            server = self.start(checks_fencing=checks)
            old, new = (
                EngineOrder(action="load", subject=s, fencing=f) for s, f in (("x", 3), ("y", 7))
            )
            self.engine.order(server.url, new).unwrap()
            refused = self.engine.order(server.url, old)
            self.assertEqual(refused.is_err(), checks)
            if checks:
                self.assertIs(refused.unwrap_err().code, ResultCode.ORDER_FENCED)
            report = self.engine.load(server.url).unwrap()
            self.assertEqual(report.fencing, 7)
            self.assertEqual("x" in report.models, not checks)
            self.assertEqual(self.complete(server, "p", "z").status, 404)

    def test_leaving_engine_refuses_requests(self) -> None:
        server = self.start()
        server.leaving = True
        answer = self.complete(server, "a")
        self.assertEqual((answer.status, server.opened), (503, []))
        self.assertIn(("loomyard-not-run", "1"), [(n.lower(), v) for n, v in answer.headers])
        self.assertTrue(self.engine.load(server.url).unwrap().leaving)


if __name__ == "__main__":
    unittest.main()
