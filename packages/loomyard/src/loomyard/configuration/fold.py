"""The fold of one change into a configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard.configuration.change import ABSENT
from loomyard.configuration.state import ConfigState, Verdict, VersionedObject
from loomyard.objects import ref_of

if TYPE_CHECKING:
    from loomyard.configuration.change import Change
    from loomyard.objects import ObjectRef


def fold(state: ConfigState, offset: int, change: Change) -> tuple[ConfigState, Verdict]:
    """Return the state after the change at a log offset, and the verdict.

    A pure function: every router that reads the same records decides the same.
    """
    if offset <= state.applied:
        return state, Verdict.REPEATED
    if not _is_current(state, change):
        return state.advance(offset), Verdict.STALE
    objects = dict(state.objects)
    for deletion in change.deletions:
        del objects[deletion.ref]
    for put in change.puts:
        objects[ref_of(put.object)] = VersionedObject(put.object, offset)
    return ConfigState(objects, version=offset, applied=offset), Verdict.ACCEPTED


def _is_current(state: ConfigState, change: Change) -> bool:
    expected = [(ref_of(put.object), put.based_on) for put in change.puts]
    expected += [(deletion.ref, deletion.based_on) for deletion in change.deletions]
    if len({ref for ref, _ in expected}) != len(expected):
        return False
    if any(deletion.based_on == ABSENT for deletion in change.deletions):
        return False
    return all(_version(state, ref) == based_on for ref, based_on in expected)


def _version(state: ConfigState, ref: ObjectRef) -> int:
    found = state.get(ref)
    return ABSENT if found is None else found.version
