"""Faults that a fake target applies to one call."""

from __future__ import annotations

from enum import Enum


class AnswerFault(Enum):
    """A fault of one call, in order from the connection to the end of the answer."""

    REFUSED = "connection refused; nothing was sent"
    GONE_BEFORE = "the target ran the call and died before its answer"
    GONE_DURING = "the target died in the middle of its answer"
    GONE_AFTER = "the target died after its answer"
    LATE = "the answer came late"
    LOST = "the answer was lost"
    DOUBLED = "the stream broke and its rest repeats what was delivered"
    CROSSED = "the answer belongs to another attempt"
    HALF = "the answer broke off and can be resumed"
    HALF_FORGOTTEN = "the answer broke off and can't be resumed"
    HALF_ENDED = "the answer ended cleanly in the middle"
    GARBAGE = "the answer is not readable"
