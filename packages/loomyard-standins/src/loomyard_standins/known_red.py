"""Tests listed as known red: they fail because of a real fault that is not fixed yet."""

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
    """Test that fails because of a real fault, with the cause and the issue."""

    test: str
    cause: str
    issue: str


@frozen
class KnownRedReport:
    """Listed tests that failed, passed or did not run, and failed tests not on the list."""

    red: tuple[KnownRed, ...]
    green: tuple[KnownRed, ...]
    not_run: tuple[KnownRed, ...]
    unexpected: tuple[str, ...]


def read_known_red(path: Path) -> Result[tuple[KnownRed, ...], str]:
    """Read the list, one ``TEST | CAUSE | ISSUE`` per line; without the file it is empty.

    Returns an error text for a malformed line or more than ``MAX_KNOWN_RED`` entries.
    """
    if not path.exists():
        return Ok(())
    known = []
    for line in filter(None, map(str.strip, path.read_text().splitlines())):
        fields = [column.strip() for column in line.split(SEPARATOR)]
        if len(fields) != FIELDS or not all(fields):
            return Err(f"not TEST | CAUSE | ISSUE: {line!r}")
        known.append(KnownRed(*fields))
    if len(known) > MAX_KNOWN_RED:
        return Err(f"{len(known)} known red tests; at most {MAX_KNOWN_RED} are allowed")
    return Ok(tuple(known))


def classify_known_red(
    known: tuple[KnownRed, ...], ran: set[str], failed: set[str]
) -> KnownRedReport:
    """Compare the list with the ids of the tests that ran and that failed."""
    names = {entry.test for entry in known}
    return KnownRedReport(
        red=tuple(entry for entry in known if entry.test in failed),
        green=tuple(entry for entry in known if entry.test in ran - failed),
        not_run=tuple(entry for entry in known if entry.test not in ran | failed),
        unexpected=tuple(sorted(failed - names)),
    )
