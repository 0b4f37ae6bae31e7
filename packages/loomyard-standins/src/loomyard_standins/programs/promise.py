"""What must hold, and a sighting against it."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class Promise(Enum):
    """What must hold."""

    OWN_ANSWER = "a caller gets its own whole answer, or sees that it did not"
    NOT_RUN = "what is refused as not run has not run and never will"
    AT_MOST_ONCE = "a request that may not be repeated runs at most once"
    ASKED = "a target runs what a caller sent and nothing else"
    NEVER_BACK = "the configuration that a router serves never goes back"
    EMPTIED = "a data centre that is emptied gets no new work after some seconds"
    COLD = "a cold target gets no more than it bears"
    LEAVING = "a router that passed on that a target leaves sends it nothing some seconds later"
    REST = "a target that asked a router for rest gets two requests more from it at most"
    IN_FORCE = "what is written after the store lost writes comes into force at every router"
    FEW_ENDS = "a request under which three targets ended is sent to three more at most"
    SERVES_AGAIN = "once the faults are over every router serves every kind of request"


@frozen
class Breach:
    """A sighting against a promise."""

    promise: Promise
    detail: str
