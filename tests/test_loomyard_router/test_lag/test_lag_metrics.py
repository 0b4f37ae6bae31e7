"""Tests of the metrics of lag."""

from __future__ import annotations

import unittest

from loomyard_router.lag.lag_metrics import LagMetrics
from loomyard_router.metrics.exposition import RouterCollector, expose
from loomyard_router.metrics.request_metrics import RequestMetrics
from loomyard_router.peers.traffic import TrafficCounters
from loomyard_standins.fake_clock import FakeClock


class LagMetricsTest(unittest.TestCase):
    def test_lag_and_connections_passed_on_are_shown(self) -> None:
        lag = LagMetrics(
            is_lagging=lambda: True,
            lagging_routers=lambda: 3,
            offloaded=lambda: 40,
            offloaded_open=lambda: 5,
        )
        collector = RouterCollector(
            RequestMetrics(FakeClock()), TrafficCounters(), lambda: 0, lag=lag
        )
        text = expose(collector).decode()
        for line in (
            "loomyard_router_lagging 1.0",
            "loomyard_routers_lagging 3.0",
            "loomyard_connections_offloaded_total 40.0",
            "loomyard_connections_offloaded_open 5.0",
        ):
            self.assertIn(f"\n{line}\n", text)


if __name__ == "__main__":
    unittest.main()
