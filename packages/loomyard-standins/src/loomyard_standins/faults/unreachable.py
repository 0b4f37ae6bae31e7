"""Cells of the fault matrix that can't occur, each with the reason."""

from __future__ import annotations

from enum import Enum

from loomyard_standins.faults.fault_kind import FaultKind
from loomyard_standins.faults.step import Operation, Step


class Unreachable(Enum):
    """Reason for which a cell can't occur; the values are printed in the fault matrix page."""

    ANSWER_BEGUN = "the answer has begun"
    ANSWER_ENDED = "the answer has ended"
    NO_CONTENT = "the answer to an order has no content that could be swapped or duplicated"
    NO_ORDER = "no order is in progress, and nothing else uses the weight store"


_BEGUN = frozenset([Step.REQUEST_ANSWERING, Step.REQUEST_ENDED])
_BEFORE_ANSWER = frozenset(
    [
        FaultKind.TARGET_GONE_BEFORE,
        FaultKind.ANSWER_LATE,
        FaultKind.ANSWER_LOST,
        FaultKind.ANSWER_CROSSED,
    ]
)
_DURING_ANSWER = frozenset([FaultKind.TARGET_GONE_DURING, FaultKind.ANSWER_DOUBLED])
_OF_CONTENT = frozenset(
    [FaultKind.ANSWER_DOUBLED, FaultKind.ANSWER_CROSSED, FaultKind.TARGET_GONE_DURING]
)


def why_unreachable(fault: FaultKind, step: Step) -> Unreachable | None:
    """Return why a fault can't occur at a step; ``None`` if it can."""
    if fault in _BEFORE_ANSWER and step in _BEGUN:
        return Unreachable.ANSWER_BEGUN
    if fault in _DURING_ANSWER and step is Step.REQUEST_ENDED:
        return Unreachable.ANSWER_ENDED
    if fault is FaultKind.WEIGHT_STORE_LIMITED and step.operation is Operation.REQUEST:
        return Unreachable.NO_ORDER
    if fault in _OF_CONTENT and step.operation is Operation.ORDER:
        return Unreachable.NO_CONTENT
    return None
