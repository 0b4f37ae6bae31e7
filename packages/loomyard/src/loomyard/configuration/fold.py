"""The fold of one change into a configuration."""

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

    A pure function: every router that reads the same records decides the same.
    """
    if offset <= state.applied:
        return state, Verdict.REPEATED
    decision = decide(state, change)
    return apply_decision(state, offset, change, decision), decision.verdict


def decide(state: ConfigState, change: Change) -> Decision:
    """Decide about a change as the next record of the log."""
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
    """Return the state after a change that was decided about."""
    if decision.verdict is not Verdict.ACCEPTED:
        return state.advance(offset)
    puts = [put.object for put in change.puts]
    return state.replace(offset, puts, [deletion.ref for deletion in change.deletions])


def _stale_refs(state: ConfigState, change: Change) -> list[str]:
    expected = [(ref_of(put.object), put.based_on) for put in change.puts]
    expected += [(deletion.ref, deletion.based_on) for deletion in change.deletions]
    return [
        f"{ref}: based on {_describe(based_on)}, now {_describe(_version(state, ref))}"
        for ref, based_on in expected
        if _version(state, ref) != based_on
    ]


def _version(state: ConfigState, ref: ObjectRef) -> int:
    found = state.get(ref)
    return ABSENT if found is None else found.version


def _describe(version: int) -> str:
    return "absence" if version == ABSENT else f"version {version}"
