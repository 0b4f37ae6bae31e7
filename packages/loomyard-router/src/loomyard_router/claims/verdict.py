"""What log order decides about a claim."""

from __future__ import annotations

from enum import Enum


class Verdict(Enum):
    """The decision about a ``Begun`` record at its place in the log."""

    GRANTED = "granted"
    TAKEN = "taken"
    VOID = "void"
    EXPIRED = "expired"
    LATE = "late"
