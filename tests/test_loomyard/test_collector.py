"""Tests of the garbage collector's state after the start of a process."""

from __future__ import annotations

import gc
import unittest

from loomyard.util.collector import tune_collector


class TuneCollectorTest(unittest.TestCase):
    def setUp(self) -> None:
        threshold = gc.get_threshold()
        self.addCleanup(gc.set_threshold, *threshold)
        self.addCleanup(gc.unfreeze)
        self.addCleanup(gc.enable)

    def test_a_collector_that_was_disabled_is_enabled_again(self) -> None:
        gc.disable()
        tune_collector()
        self.assertTrue(gc.isenabled())


if __name__ == "__main__":
    unittest.main()
