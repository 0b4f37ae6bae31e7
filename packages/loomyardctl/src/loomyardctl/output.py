"""Output of documents as tables, JSON or YAML."""

from __future__ import annotations

import json
from enum import Enum
from typing import TYPE_CHECKING, Any

import yaml

if TYPE_CHECKING:
    from collections.abc import Sequence

COLUMN_GAP = "  "
# The faster C dumper where PyYAML was built with it; both dumpers are safe ones.
_DUMPER = getattr(yaml, "CSafeDumper", yaml.SafeDumper)


class OutputFormat(Enum):
    """The output format of a command."""

    TABLE = "table"
    JSON = "json"
    YAML = "yaml"


def print_document(document: Any, output: OutputFormat) -> None:
    """Print a document as JSON or YAML; in YAML, each item of a list is a document."""
    if output is OutputFormat.JSON:
        print(json.dumps(document, indent=2))
    elif isinstance(document, list):
        print(yaml.dump_all(document, Dumper=_DUMPER, sort_keys=False), end="")
    else:
        print(yaml.dump(document, Dumper=_DUMPER, sort_keys=False), end="")


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows as aligned columns below a header."""
    cells = [[str(cell) for cell in row] for row in [header, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print(COLUMN_GAP.join(padded).rstrip())
