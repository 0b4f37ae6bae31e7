"""Invariants of a soak run and their violations."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class Invariant(Enum):
    """A property that must hold under all faults."""

    OWN_ANSWER = "a caller gets its own complete answer, or can tell that it did not"
    NOT_RUN = "a request refused as not executed was not executed and never will be"
    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    ASKED = "a target runs only requests that a caller sent"
    NEVER_BACK = "a router never returns to an older configuration version"
    EMPTIED = "an evacuated data centre gets no new requests after some seconds"
    COLD = "a cold target gets no more requests a second than it announces"
    LEAVING = "a router that forwarded a notice of leaving stops sending to that target"
    DRAINED = "a target whose entry says that it leaves gets nothing new two seconds later"
    REST = "a target that asked a router to back off gets at most two more requests"
    IN_FORCE = "a version written after a rollback of the store takes effect at every router"
    FEW_ENDS = "a request under which three targets crashed is sent at most three more times"
    FEW_PART_ENDS = "requests with a part on which five targets crashed are sent at most three more"
    ONE_VERSION = "the events of a stream are of one version, over all attempts of its caller"
    TAKEN_UP = "streams that are taken up go on at least half as often as new ones begin"
    LIVES = "a router ends only when it is told to, and by SIGTERM with status 0"
    NO_FAILURE = "no task, callback or listener of a router fails unexpectedly"
    SERVES_AGAIN = "after the last fault every router serves every kind of request"


@frozen
class Violation:
    """An observed violation of an invariant."""

    invariant: Invariant
    detail: str
