"""Numbered result codes and the fault that carries one."""

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
    """What a request, a change or a command came to.

    1xxx caller input, 2xxx limits and capacity, 3xxx targets, 4xxx idempotency,
    5xxx configuration, 6xxx platform and peers, 7xxx settings.
    """

    MALFORMED_REQUEST = 1001
    BODY_TOO_LARGE = 1002
    UNKNOWN_KEY = 1003
    UNKNOWN_SERVICE = 1004
    NO_ROUTE = 1005
    DEADLINE_PASSED = 1006
    UNKNOWN_PATH = 1007
    METHOD_NOT_ALLOWED = 1008
    INVALID_RESUME = 1009
    UNKNOWN_REQUEST = 1010
    CALLER_GONE = 1011

    QUEUE_FULL = 2001
    DEADLINE_UNREACHABLE = 2002
    QUEUE_TIMEOUT = 2003
    STOPPING = 2004
    RETRY_BUDGET_SPENT = 2005
    NOT_READY = 2006

    NO_TARGET = 3001
    TARGET_UNREACHABLE = 3002
    TARGET_REFUSED = 3003
    ANSWER_LOST = 3004
    ANSWER_INCOMPLETE = 3005
    ANSWER_INVALID = 3006
    STREAM_GONE = 3007
    ORDER_FENCED = 3008
    TARGET_FAILED = 3009

    KEY_REUSED = 4001
    KEY_EXPIRED = 4002
    OUTCOME_UNKNOWN = 4003
    KEY_IN_PROGRESS = 4004
    CLAIM_UNAVAILABLE = 4005

    INVALID_MANIFEST = 5001
    STALE_VERSION = 5002
    CHANGE_REJECTED = 5003
    CHANGE_UNSETTLED = 5004
    UNKNOWN_OBJECT = 5005
    INVALID_SELECTOR = 5006
    SNAPSHOT_UNUSABLE = 5007

    LOG_UNAVAILABLE = 6001
    LOG_ANSWER_LOST = 6002
    LOG_TRIMMED = 6003
    PEER_REFUSED = 6004
    PEER_UNREACHABLE = 6005
    OPERATOR_REFUSED = 6006
    MESSAGE_INVALID = 6007
    WEIGHT_STORE_LIMITED = 6008

    INVALID_SETTING = 7001


@frozen(kw_only=True)
class Fault:
    """A failure: its code, a detail for people and what is certain about the execution.

    ``retry_after`` is in seconds; ``None`` where a later attempt would not help.
    """

    code: ResultCode
    detail: str
    executed: Executed = Executed.NO
    retry_after: float | None = None


@frozen(kw_only=True)
class FieldFault:
    """A fault of one field of one object in one source."""

    source: str
    object: str
    field: str
    detail: str
    code: ResultCode = attrs.field(default=ResultCode.INVALID_MANIFEST)

    def __str__(self) -> str:
        return f"{self.source}: {self.object}: {self.field}: {self.detail} [{self.code:d}]"
