"""The records of the configuration stream, and their application to a state."""

from __future__ import annotations

from typing import Any

from attrs import frozen
from result import Ok

from loomyard.codec import decode
from loomyard.configuration.change import Change
from loomyard.configuration.decision import Decision
from loomyard.configuration.fold import apply_decision, decide
from loomyard.configuration.snapshot import SnapshotNotice
from loomyard.configuration.state import ConfigState, Verdict

CONFIG_STREAM = "loomyard.configuration"
MAX_CHANGE_BYTES = 512 * 1024

ConfigRecord = Change | SnapshotNotice
_RECORD_KIND: Any = ConfigRecord


@frozen
class FoldedRecord:
    """The state after a record and the decision about it.

    ``record`` is ``None`` if it was a repetition or could not be decoded.
    """

    state: ConfigState
    record: ConfigRecord | None
    decision: Decision


def fold_record(state: ConfigState, offset: int, payload: bytes) -> FoldedRecord:
    """Apply an encoded log record to a state; a pure function that never raises.

    A record that cannot be decoded gets the verdict ``INVALID``.
    """
    if offset <= state.applied:
        return FoldedRecord(state, None, Decision(Verdict.REPEATED))
    if len(payload) > MAX_CHANGE_BYTES:
        detail = f"the record is longer than {MAX_CHANGE_BYTES} bytes"
        return FoldedRecord(state.advance(offset), None, Decision(Verdict.INVALID, detail))
    decoded = decode(payload, _RECORD_KIND)
    if decoded.is_err():
        decision = Decision(Verdict.INVALID, decoded.unwrap_err())
        return FoldedRecord(state.advance(offset), None, decision)
    match decoded:
        case Ok(Change() as change):
            decision = decide(state, change)
            return FoldedRecord(apply_decision(state, offset, change, decision), change, decision)
    return FoldedRecord(state.advance(offset), decoded.unwrap(), Decision(Verdict.ACCEPTED))
