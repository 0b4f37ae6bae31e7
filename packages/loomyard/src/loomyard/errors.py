"""Numbered result codes and the error values that carry them."""

from __future__ import annotations

from enum import Enum, IntEnum

import attrs
from attrs import frozen


class Executed(Enum):
    """Whether the target ran the request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Result code of a request, a configuration change or a command.

    1xxx caller input, 2xxx limits and capacity, 3xxx targets, 4xxx idempotency,
    5xxx configuration, 6xxx platform and peers, 7xxx settings.
    """

    meaning: str

    def __new__(cls, value: int, meaning: str = "") -> ResultCode:
        code = int.__new__(cls, value)
        code._value_ = value
        code.meaning = meaning
        return code

    MALFORMED_REQUEST = 1001, "the request cannot be parsed"
    BODY_TOO_LARGE = 1002, "the body is longer than allowed"
    UNKNOWN_KEY = 1003, "no client account has this bearer key"
    UNKNOWN_SERVICE = 1004, "no such service or model"
    NO_ROUTE = 1005, "no route lets this client account use the service"
    DEADLINE_PASSED = 1006, "the deadline of the request has passed"
    UNKNOWN_PATH = 1007, "nothing is served at this path"
    METHOD_NOT_ALLOWED = 1008, "the path does not accept this method"
    INVALID_RESUME = 1009, "the request id or event id of a resume is not valid"
    UNKNOWN_REQUEST = 1010, "no router has a record of this request"
    CALLER_GONE = 1011, "the caller disconnected before the answer was complete"

    QUEUE_FULL = 2001, "too many requests of this client account are waiting"
    DEADLINE_UNREACHABLE = 2002, "the queue is too long for the deadline"
    QUEUE_TIMEOUT = 2003, "no slot came free before the deadline"
    STOPPING = 2004, "the router is being stopped"
    RETRY_BUDGET_SPENT = 2005, "the retry budget is exhausted"
    NOT_READY = 2006, "the router has no configuration yet"
    ROUTER_OVERLOADED = 2007, "the event loop of the router is lagging"
    BODIES_HELD = 2009, "the memory limit for request bodies is reached"
    ROUTER_SHORT = 2010, "the router is short of memory or descriptors"
    ENDS_TARGETS = 2008, "targets crashed on this request or a part of its prompt; it is blocked"

    NO_TARGET = 3001, "the route selects no target that may get new requests"
    TARGET_UNREACHABLE = 3002, "no connection to the target; nothing was sent"
    TARGET_REFUSED = 3003, "the target refused the request and did not run it"
    ANSWER_LOST = 3004, "the request was sent and no answer came"
    ANSWER_INCOMPLETE = 3005, "the answer ended early"
    ANSWER_INVALID = 3006, "the answer does not belong to this request"
    STREAM_GONE = 3007, "the target no longer has the stream"
    ORDER_FENCED = 3008, "the engine refused an order with an old fencing number"
    TARGET_FAILED = 3009, "the engine answered with an internal error"
    ANSWER_LATE = 3010, "the request was sent and not answered in time"
    ORIGIN_UNKNOWN = 3011, "it is not known which service and version began the stream"

    KEY_REUSED = 4001, "the idempotency key was used for another request"
    KEY_EXPIRED = 4002, "the idempotency key is older than the window"
    OUTCOME_UNKNOWN = 4003, "it is not known whether the request ran"
    KEY_IN_PROGRESS = 4004, "a request with this idempotency key is running"
    CLAIM_UNAVAILABLE = 4005, "the claim cannot be looked up or recorded now"
    BODY_NOT_KEPT = 4006, "the request ran; its answer was too large to keep for a repeat"

    INVALID_MANIFEST = 5001, "an object or field is not valid"
    STALE_VERSION = 5002, "the change is based on an older version"
    CHANGE_REJECTED = 5003, "the change was rejected in log order"
    CHANGE_UNSETTLED = 5004, "it is not known yet whether the change was accepted"
    UNKNOWN_OBJECT = 5005, "no such object"
    INVALID_SELECTOR = 5006, "the selector cannot be parsed"
    SNAPSHOT_UNUSABLE = 5007, "no usable configuration snapshot"

    LOG_UNAVAILABLE = 6001, "the log service did not accept the call"
    LOG_ANSWER_LOST = 6002, "the append was not acknowledged; the log may hold the record"
    LOG_TRIMMED = 6003, "the requested records are no longer retained"
    PEER_REFUSED = 6004, "the peer is not authenticated, or its message is outdated"
    PEER_UNREACHABLE = 6005, "no connection to the peer"
    OPERATOR_REFUSED = 6006, "the operator key is not valid"
    MESSAGE_INVALID = 6007, "the message cannot be decoded"
    WEIGHT_STORE_LIMITED = 6008, "the weight store allows no load yet"
    PEER_FAILED = 6011, "a peer could not answer a message"
    VM_LIST_UNAVAILABLE = 6010, "the VM list did not answer"

    INVALID_SETTING = 7001, "a setting is not valid"
    ADDRESS_UNAVAILABLE = 7002, "an address to listen at is not to be had"


@frozen(kw_only=True)
class Fault:
    """A failure: result code, human-readable detail and whether the target ran the request.

    ``retry_after`` is in seconds, ``None`` if a later attempt would not help.
    """

    code: ResultCode
    detail: str
    executed: Executed = Executed.NO
    retry_after: float | None = None


@frozen(kw_only=True)
class FieldFault:
    """A validation error: source (such as a file), object, field path and detail."""

    source: str
    object: str
    field: str
    detail: str
    code: ResultCode = attrs.field(default=ResultCode.INVALID_MANIFEST)

    def __str__(self) -> str:
        return f"{self.source}: {self.object}: {self.field}: {self.detail} [{self.code:d}]"
