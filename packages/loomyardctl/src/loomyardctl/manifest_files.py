"""Manifests read from files, folders and standard input."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import FieldFault
from loomyard.manifests import read_versioned

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from loomyard.manifests import Manifest

STANDARD_INPUT = "-"
SUFFIXES = (".yaml", ".yml")


def read_files(paths: Iterable[str]) -> Result[list[Manifest], list[FieldFault]]:
    """Read manifests from files, folders (recursively) and ``-``; the error lists every fault."""
    sources: list[tuple[str, str]] = []
    faults: list[FieldFault] = []
    for path in _expand(paths):
        try:
            sources.append((path, _read_text(path)))
        except (OSError, UnicodeDecodeError) as error:
            detail = f"cannot be read: {error}"
            faults.append(FieldFault(source=path, object="-", field="-", detail=detail))
    match read_versioned(sources):
        case Err(found):
            return Err(faults + found)
        case Ok(manifests):
            return Err(faults) if faults else Ok(manifests)


def report_faults(faults: Iterable[FieldFault]) -> None:
    """Print faults with file, object and field to standard error."""
    for fault in faults:
        print(fault, file=sys.stderr)


def _expand(paths: Iterable[str]) -> Iterator[str]:
    for path in paths:
        if path != STANDARD_INPUT and Path(path).is_dir():
            found = [file for file in Path(path).rglob("*") if file.suffix in SUFFIXES]
            yield from sorted(str(file) for file in found)
        else:
            yield path


def _read_text(path: str) -> str:
    return sys.stdin.read() if path == STANDARD_INPUT else Path(path).read_text("utf-8")
