"""The name of one life of a target."""

from __future__ import annotations

from typing import NewType

# A target may start again under its id. What is known of one life says nothing of the next, so
# whatever is kept about a target is kept under the name of its life.
TargetIncarnation = NewType("TargetIncarnation", str)


def name_life(id_: str, born: int | None) -> TargetIncarnation:
    """Name the life of a target that began at ``born``, in Unix milliseconds where it is told."""
    return TargetIncarnation(id_ if born is None else f"{id_}@{born}")
