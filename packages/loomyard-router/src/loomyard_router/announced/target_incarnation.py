"""The identity of one start of a target."""

from __future__ import annotations

from typing import NewType

# A target may restart under its id. State of one incarnation says nothing about the next, so all
# state about targets is keyed by incarnation.
TargetLife = NewType("TargetLife", str)


def make_incarnation(id_: str, born: int | None) -> TargetLife:
    """Return ``ID@BORN``, or the id where ``born`` (Unix milliseconds) is ``None``."""
    return TargetLife(id_ if born is None else f"{id_}@{born}")
