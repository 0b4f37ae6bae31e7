"""Tests of the fault matrix: one for each cell that can occur."""

from __future__ import annotations

import unittest
from pathlib import Path

from loomyard_standins.faults.matrix import CELLS, Cell, run_cell
from loomyard_standins.faults.table import PAGE, count_runs, render

ROOT = Path(__file__).parents[2]


class FaultMatrixTest(unittest.TestCase):
    def check(self, cell: Cell) -> None:
        for run in run_cell(cell):
            with self.subTest(run.label):
                self.assertEqual(run.violations, [])
                self.assertTrue(run.fired, "the fault was not injected")

    def test_the_page_is_current(self) -> None:
        self.assertEqual((ROOT / PAGE).read_text(), render(count_runs()))


def _add_cell(cell: Cell) -> None:
    def test(self: FaultMatrixTest) -> None:
        self.check(cell)

    name = f"test_{cell.fault.name.lower()}_at_{cell.step.name.lower()}"
    setattr(FaultMatrixTest, name, test)


for _cell in CELLS:
    if _cell.unreachable is None:
        _add_cell(_cell)


if __name__ == "__main__":
    unittest.main()
