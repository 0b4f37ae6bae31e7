"""Write the fault matrix as a page: ``python -m loomyard_standins.faults.table``."""

from __future__ import annotations

from itertools import groupby
from pathlib import Path

from loomyard_standins.faults.checkers import Invariant
from loomyard_standins.faults.fault_kind import FaultKind
from loomyard_standins.faults.matrix import CELLS, Cell
from loomyard_standins.faults.step import Step
from loomyard_standins.faults.unreachable import Unreachable

PAGE = Path("docs/internals/FAULT-MATRIX.md")
HEAD = """<!-- Written by `make tables` from the code; do not edit. -->

# Fault matrix

Each row is a fault, each column a step of an operation at which it comes. A number counts the
runs of a cell: each of them starts three routers of the product over fakes at every interface
with an injected clock, lets the fault come at the step, mends it, calls the fleet again and
checks all invariants below on what callers and targets saw. `make test` runs every cell; a cell
fails with any violation, and also where its fault did not come. A letter tells why a cell can't
occur.
"""


def render(counts: dict[Cell, int]) -> str:
    """Return the page for the number of runs of each cell."""
    lines = [HEAD, "## Why some cells can't occur\n"]
    letters = {reason: chr(ord("a") + n) for n, reason in enumerate(Unreachable)}
    lines += [f"- **{letter}**: {reason.value}" for reason, letter in letters.items()]
    for operation, steps in groupby(Step, key=lambda step: step.operation):
        columns = list(steps)
        lines += ["", f"## {operation.value.capitalize()}", ""]
        lines.append("| fault | " + " | ".join(step.label for step in columns) + " |")
        lines.append("|---|" + "---|" * len(columns))
        for fault in FaultKind:
            row = [_entry(Cell(fault, step), letters, counts) for step in columns]
            lines.append(f"| {fault.value} | " + " | ".join(row) + " |")
    lines += ["", "## Invariants", ""]
    lines += [f"- {invariant.value}" for invariant in Invariant]
    return "\n".join(lines) + "\n"


def count_runs() -> dict[Cell, int]:
    """Return in how many ways each cell runs, without running it."""
    return {cell: len(cell.variants) for cell in CELLS if cell.unreachable is None}


def main() -> None:
    """Write the page."""
    PAGE.parent.mkdir(parents=True, exist_ok=True)
    PAGE.write_text(render(count_runs()))


def _entry(cell: Cell, letters: dict[Unreachable, str], counts: dict[Cell, int]) -> str:
    if cell.unreachable is not None:
        return letters[cell.unreachable]
    return str(counts[cell])


if __name__ == "__main__":
    main()
