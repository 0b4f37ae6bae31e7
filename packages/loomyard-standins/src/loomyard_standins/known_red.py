"""The tests that are known to fail for a real fault that is not mended yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from result import Err, Ok, Result

if TYPE_CHECKING:
    from pathlib import Path

FILE_NAME = "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
SEPARATOR = " | "
FIELDS = 3


@frozen
class KnownRed:
    """A test that fails for a real fault, the cause and the issue."""

    test: str
    cause: str
    issue: str


@frozen
class Sorted:
    """The known red tests by what they did, and the failing tests that are not known red."""

    red: tuple[KnownRed, ...]
    green: tuple[KnownRed, ...]
    not_run: tuple[KnownRed, ...]
    unexpected: tuple[str, ...]


def read_known_red(path: Path) -> Result[tuple[KnownRed, ...], str]:
    """Read the list, ``TEST | CAUSE | ISSUE`` a line; no file means none."""
    if not path.exists():
        return Ok(())
    known = []
    for line in filter(None, map(str.strip, path.read_text().splitlines())):
        fields = [part.strip() for part in line.split(SEPARATOR)]
        if len(fields) != FIELDS or not all(fields):
            return Err(f"not TEST | CAUSE | ISSUE: {line!r}")
        known.append(KnownRed(*fields))
    if len(known) > MAX_KNOWN_RED:
        return Err(f"{len(known)} known red tests; at most {MAX_KNOWN_RED} are allowed")
    return Ok(tuple(known))


def sort_known_red(known: tuple[KnownRed, ...], ran: set[str], failed: set[str]) -> Sorted:
    """Compare the list with the ids of the tests that ran and that failed."""
    names = {entry.test for entry in known}
    return Sorted(
        red=tuple(entry for entry in known if entry.test in failed),
        green=tuple(entry for entry in known if entry.test in ran - failed),
        not_run=tuple(entry for entry in known if entry.test not in ran | failed),
        unexpected=tuple(sorted(failed - names)),
    )
