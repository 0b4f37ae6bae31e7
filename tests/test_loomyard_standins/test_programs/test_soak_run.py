"""Tests of the soak of the real programs: a short run, and plans determined by their seeds."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from loomyard_standins.programs.fault_plan import ProgramFault, draw_plan
from loomyard_standins.programs.soak_run import SoakRun

SEED = 4
SECONDS = 6.0


class SoakRunTest(unittest.TestCase):
    def test_a_short_run_violates_no_invariant_and_serves_again(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            run = SoakRun(Path(folder), seed=SEED, seconds=SECONDS, every=0.8, routers=2)
            report = run.execute()
        self.assertEqual([], run.violations)
        self.assertGreater(report["faults"], 0)
        self.assertGreater(report["whole"], 0)

    def test_a_plan_is_determined_by_its_seed_and_ends_in_time(self) -> None:
        plan = draw_plan(SEED, seconds=60.0, every=0.5)
        self.assertEqual(plan, draw_plan(SEED, seconds=60.0, every=0.5))
        self.assertNotEqual(plan, draw_plan(SEED + 1, seconds=60.0, every=0.5))
        self.assertEqual(set(ProgramFault), {planned.fault for planned in plan})
        self.assertTrue(all(planned.at < planned.until <= 60.0 for planned in plan))


if __name__ == "__main__":
    unittest.main()
