"""How far a request has come, which decides what a planned stop may still do for its caller."""

from __future__ import annotations

from enum import Enum


class RequestStage(Enum):
    """The stage of a request that was read whole."""

    WAITING = "waiting"  # No attempt is on its way; any earlier one has ended.
    SENT = "sent"  # An attempt is on its way, and the caller got nothing.
    ANSWERING = "answering"  # The head of the answer has been sent to the caller.
