"""Kinds of faults: the rows of the fault matrix."""

from __future__ import annotations

from enum import Enum


class FaultKind(Enum):
    """A kind of fault; ``ROUTER_`` kinds affect a single router of the fleet."""

    ROUTER_KILLED = "router killed"
    ROUTER_PAUSED = "router paused"
    ROUTER_RESTARTED = "router restarted empty"
    ROUTER_PARTITIONED = "router partitioned, rejoins stale"
    TARGET_GONE_BEFORE = "target gone before its answer"
    TARGET_GONE_DURING = "target gone during its answer"
    TARGET_GONE_AFTER = "target gone after its answer"
    ANSWER_LATE = "answer late"
    ANSWER_LOST = "answer lost"
    ANSWER_DOUBLED = "answer doubled"
    ANSWER_CROSSED = "answer crossed"
    LOG_DOWN = "log service down"
    LOG_SLOW = "log service slow"
    LOG_ANSWER_LOST = "log answer lost"
    LOG_TRIMMED = "log trimmed"
    VM_LIST_STALE = "VM list stale"
    OPERATORS_RACING = "operators racing"
    FLOOD = "flood"
    WEIGHT_STORE_LIMITED = "weight store limited"

    @property
    def affects_router(self) -> bool:
        return self.name.startswith("ROUTER_")
