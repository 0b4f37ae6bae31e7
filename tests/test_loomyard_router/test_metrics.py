"""Tests of the metrics of requests: limited in number, and exposed on their own listener."""

from __future__ import annotations

import unittest

from geventhttpclient import HTTPClient

from loomyard.errors import ResultCode
from loomyard_router.metrics.exposition import RouterCollector, expose
from loomyard_router.metrics.phase import Phase
from loomyard_router.metrics.request_metrics import IDLE_SECONDS, RequestMetrics
from loomyard_router.metrics.server import MetricsServer
from loomyard_router.peers.traffic import TrafficCounters
from loomyard_standins.fake_clock import FakeClock


class MetersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.meters = RequestMetrics(self.clock, max_keys=2)

    def counts(self) -> dict[tuple[str, str], int]:
        return {
            (account, service): histograms.phases[Phase.QUEUE].get_total_count()
            for account, service, histograms in self.meters.items()
        }

    def test_accounts_beyond_the_limit_share_histograms(self) -> None:
        for account in ("a", "b", "c", "d", "a"):
            self.meters.record(account, "s", Phase.QUEUE, 0.01)
        self.assertEqual(self.counts(), {("b", "s"): 1, ("a", "s"): 2, ("other", "s"): 2})
        self.clock.advance(IDLE_SECONDS)
        self.meters.record("a", "s", Phase.QUEUE, 0.01)
        self.meters.record("c", "s", Phase.QUEUE, 0.01)
        self.assertEqual(self.counts(), {("a", "s"): 3, ("c", "s"): 1, ("other", "s"): 3})

    def test_exposition(self) -> None:
        for seconds in (0.010, 0.020, -1.0, 1e9):
            self.meters.record("kiosk", "assistant", Phase.QUEUE, seconds)
        self.meters.count(ResultCode.QUEUE_FULL)
        self.meters.count(None)
        collector = RouterCollector(self.meters, TrafficCounters(), lambda: 7)
        text = expose(collector).decode()
        key = 'account="kiosk",phase="queue"'
        self.assertIn(f'loomyard_request_phases_total{{{key},service="assistant"}} 4.0', text)
        self.assertIn('loomyard_requests_total{code="2001"} 1.0', text)
        self.assertIn('loomyard_requests_total{code="0"} 1.0', text)
        self.assertIn("loomyard_requests_in_flight 7.0", text)
        server = MetricsServer("127.0.0.1:0", lambda: False, collector)
        server.start()
        self.addCleanup(server.stop)
        client = HTTPClient("127.0.0.1", server.port)
        self.addCleanup(client.close)
        paths = ("/metrics", "/healthz", "/readyz", "/v1/models")
        statuses = [client.get(path).status_code for path in paths]
        self.assertEqual(statuses, [200, 200, 503, 404])


if __name__ == "__main__":
    unittest.main()
