"""Operations and their steps: the columns of the fault matrix."""

from __future__ import annotations

from enum import Enum


class Operation(Enum):
    """An operation of the fleet during which faults are injected."""

    REQUEST = "request"
    CHANGE = "configuration change"
    LEASE = "slot lease"
    ORDER = "order"
    STOP = "planned stop"


class Step(Enum):
    """A step of an operation at which faults are injected; values are operation and label."""

    REQUEST_RECEIVED = (Operation.REQUEST, "received")
    REQUEST_QUEUED = (Operation.REQUEST, "queued")
    REQUEST_CLAIMED = (Operation.REQUEST, "claimed")
    REQUEST_SENT = (Operation.REQUEST, "sent")
    REQUEST_ANSWERING = (Operation.REQUEST, "answering")
    REQUEST_ENDED = (Operation.REQUEST, "ended")
    CHANGE_PROPOSED = (Operation.CHANGE, "proposed")
    CHANGE_APPENDED = (Operation.CHANGE, "appended")
    CHANGE_IN_FORCE = (Operation.CHANGE, "in force")
    LEASE_ASKED = (Operation.LEASE, "asked")
    LEASE_DECIDED = (Operation.LEASE, "decided")
    LEASE_GRANTED = (Operation.LEASE, "granted")
    LEASE_HELD = (Operation.LEASE, "held")
    LEASE_RETURNED = (Operation.LEASE, "returned")
    ORDER_LEASED = (Operation.ORDER, "leased")
    ORDER_DECIDED = (Operation.ORDER, "decided")
    ORDER_SENT = (Operation.ORDER, "sent")
    ORDER_TAKEN = (Operation.ORDER, "taken")
    STOP_BEGUN = (Operation.STOP, "begun")
    STOP_DRAINING = (Operation.STOP, "draining")
    STOP_ENDING = (Operation.STOP, "ending")

    @property
    def operation(self) -> Operation:
        return self.value[0]

    @property
    def label(self) -> str:
        return self.value[1]
