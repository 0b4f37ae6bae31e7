"""Verdicts on claims, decided by log order."""

from __future__ import annotations

from enum import Enum


class Verdict(Enum):
    """Decision on a ``Begun`` record, given the records before it in the log.

    ``TAKEN``: another claim owns the key; ``VOID``: this claim was abandoned or refused before;
    ``EXPIRED``: the key is older than its window; ``LATE``: the record was appended too long after
    it was made.
    """

    GRANTED = "granted"
    TAKEN = "taken"
    VOID = "void"
    EXPIRED = "expired"
    LATE = "late"
