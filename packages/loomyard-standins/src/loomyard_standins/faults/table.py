"""Writer of the fault matrix page: ``python -m loomyard_standins.faults.table``."""

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

Each row is a fault, each column a step of an operation at which it is injected. A number counts
the runs of a cell: each run starts three routers of the product over fakes at every interface
with an injected clock, injects the fault at the step, heals it, sends probe requests and checks
all invariants below on the records of callers and targets. `make test` runs every cell; a cell
fails on any violation, and also if its fault was not injected. A letter gives the reason why a
cell can't occur.
"""


def render(counts: dict[Cell, int]) -> str:
    """Return the page as Markdown, given the number of runs of each cell."""
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
    """Return the number of scenarios of each cell that can occur, without running them."""
    return {cell: len(cell.variants) for cell in CELLS if cell.unreachable is None}


def main() -> None:
    """Write the page to ``PAGE``, relative to the working directory."""
    PAGE.parent.mkdir(parents=True, exist_ok=True)
    PAGE.write_text(render(count_runs()))


def _entry(cell: Cell, letters: dict[Unreachable, str], counts: dict[Cell, int]) -> str:
    if cell.unreachable is not None:
        return letters[cell.unreachable]
    return str(counts[cell])


if __name__ == "__main__":
    main()
