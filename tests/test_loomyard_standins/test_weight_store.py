"""Tests of the rate-limited weight store over HTTP."""

from __future__ import annotations

import unittest

from loomyard.errors import ResultCode
from loomyard.external.http_weight_store import connect_weight_store
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.weight_store import LimitedWeightStore, WeightStoreServer


class WeightStoreTest(unittest.TestCase):
    def test_rate_limit_and_outage(self) -> None:
        clock = FakeClock()
        server = WeightStoreServer(LimitedWeightStore(clock, interval=20.0))
        server.start()
        self.addCleanup(server.stop)
        store = connect_weight_store(server.address, clock)
        self.assertEqual(store.reserve("tagger").unwrap(), 0.0)
        clock.advance(5.0)
        limited = store.reserve("tagger").unwrap_err()
        self.assertIs(limited.code, ResultCode.WEIGHT_STORE_LIMITED)
        self.assertEqual(limited.retry_after, 15.0)
        clock.advance(15.0)
        self.assertEqual(store.reserve("tagger").unwrap(), 20.0)
        server.stop()
        self.assertIs(store.reserve("tagger").unwrap_err().code, ResultCode.WEIGHT_STORE_LIMITED)


if __name__ == "__main__":
    unittest.main()
