"""The configuration as a fold of the log: changes, states, verdicts and snapshots."""

from __future__ import annotations

from loomyard.configuration.assembly import SnapshotAssembly
from loomyard.configuration.change import ABSENT, Change, Deletion, Put
from loomyard.configuration.decision import Decision
from loomyard.configuration.digest import format_digest
from loomyard.configuration.fold import decide, fold
from loomyard.configuration.packing import make_notice, pack, unpack
from loomyard.configuration.records import (
    CONFIG_STREAM,
    MAX_CHANGE_BYTES,
    FoldedRecord,
    fold_record,
)
from loomyard.configuration.snapshot import SnapshotNotice, SnapshotPart
from loomyard.configuration.state import (
    EMPTY_VERSION,
    ConfigState,
    Verdict,
    VersionedObject,
    make_state,
)
from loomyard.configuration.validation import find_form_faults

__all__ = [
    "ABSENT",
    "CONFIG_STREAM",
    "EMPTY_VERSION",
    "MAX_CHANGE_BYTES",
    "Change",
    "ConfigState",
    "Decision",
    "Deletion",
    "FoldedRecord",
    "Put",
    "SnapshotAssembly",
    "SnapshotNotice",
    "SnapshotPart",
    "Verdict",
    "VersionedObject",
    "decide",
    "find_form_faults",
    "fold",
    "fold_record",
    "format_digest",
    "make_notice",
    "make_state",
    "pack",
    "unpack",
]
