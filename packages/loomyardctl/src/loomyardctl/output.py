"""Print documents as tables, JSON or YAML."""

from __future__ import annotations

import json
from enum import Enum
from typing import TYPE_CHECKING, Any

import yaml

if TYPE_CHECKING:
    from collections.abc import Sequence

COLUMN_GAP = "  "
# The dumper in C where the library was built with it: both are safe.
_DUMPER = getattr(yaml, "CSafeDumper", yaml.SafeDumper)


class OutputFormat(Enum):
    """How a command prints."""

    TABLE = "table"
    JSON = "json"
    YAML = "yaml"


def print_document(document: Any, output: OutputFormat) -> None:
    """Print a document for programs; a list becomes YAML documents."""
    if output is OutputFormat.JSON:
        print(json.dumps(document, indent=2))
    elif isinstance(document, list):
        print(yaml.dump_all(document, Dumper=_DUMPER, sort_keys=False), end="")
    else:
        print(yaml.dump(document, Dumper=_DUMPER, sort_keys=False), end="")


def print_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print aligned columns under a head."""
    cells = [[str(cell) for cell in row] for row in [head, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(head))]
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print(COLUMN_GAP.join(padded).rstrip())
