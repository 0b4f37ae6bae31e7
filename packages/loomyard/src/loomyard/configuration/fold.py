"""The fold: application of one change to a configuration state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard.configuration.change import ABSENT
from loomyard.configuration.decision import Decision
from loomyard.configuration.state import ConfigState, Verdict
from loomyard.configuration.validation import find_form_faults, find_state_faults
from loomyard.objects import ref_of

if TYPE_CHECKING:
    from loomyard.configuration.change import Change
    from loomyard.objects import ObjectRef


def fold(state: ConfigState, offset: int, change: Change) -> tuple[ConfigState, Verdict]:
    """Return the state after the change at a log offset, and the verdict.

    A pure function, so that all routers that read the same records come to the same state.
    """
    if offset <= state.applied:
        return state, Verdict.REPEATED
    decision = decide(state, change)
    return apply_decision(state, offset, change, decision), decision.verdict


def decide(state: ConfigState, change: Change) -> Decision:
    """Return the decision about a change that is the next record of the log."""
    if faults := find_form_faults(change):
        return Decision(Verdict.INVALID, "; ".join(faults))
    if stale := _stale_refs(state, change):
        return Decision(Verdict.STALE, "; ".join(stale))
    if faults := find_state_faults(state, change):
        return Decision(Verdict.INVALID, "; ".join(faults))
    return Decision(Verdict.ACCEPTED)


def apply_decision(
    state: ConfigState, offset: int, change: Change, decision: Decision
) -> ConfigState:
    """Return the state after a change and the decision about it."""
    if decision.verdict is not Verdict.ACCEPTED:
        return state.advance(offset)
    puts = [put.object for put in change.puts]
    return state.replace(offset, puts, [deletion.ref for deletion in change.deletions])


def _stale_refs(state: ConfigState, change: Change) -> list[str]:
    expected = [(ref_of(put.object), put.based_on) for put in change.puts]
    expected += [(deletion.ref, deletion.based_on) for deletion in change.deletions]
    return [
        f"{ref}: based on {_format_version(based_on)}, now {_format_version(_version(state, ref))}"
        for ref, based_on in expected
        if _version(state, ref) != based_on
    ]


def _version(state: ConfigState, ref: ObjectRef) -> int:
    found = state.get(ref)
    return ABSENT if found is None else found.version


def _format_version(version: int) -> str:
    return "absence" if version == ABSENT else f"version {version}"
