"""Records of what targets and callers observed: the only input of the checkers."""

from __future__ import annotations

from enum import Enum

from attrs import define, field, frozen


@define(kw_only=True, eq=False)
class Run:
    """One execution of a call at a target.

    ``marker`` identifies the request; ``tokens`` counts the generated tokens. ``refused`` calls
    reached the target but did not execute; ``broken`` ones lost their answer to a fault.
    """

    target: str
    attempt_id: str
    marker: str
    at: float
    tokens: int = 0
    chunks: list[bytes] = field(factory=list)
    cancelled: bool = False
    refused: bool = False
    broken: bool = False


@define(kw_only=True, eq=False)
class OrderRecord:
    """An order received by a target, and whether it took effect."""

    target: str
    checks_fencing: bool
    action: str
    subject: str
    fencing: int
    at: float
    effective: bool


class Ending(Enum):
    """How an answer ended for its caller."""

    OPEN = "still open"
    WHOLE = "ended cleanly"
    CUT = "the connection broke"


@define(kw_only=True, eq=False)
class CallRecord:
    """One call as its caller observed it.

    ``expected`` is the text or body of the complete answer, ``ended`` the time of the end or
    ``None`` while open, ``executed`` and ``code`` are from the error body. A ``probe`` is sent
    after all faults are healed; a ``repeat`` sends an idempotency key again.
    """

    marker: str
    account: str
    router: str
    expected: str
    started: float
    stream: bool = False
    idempotent: bool = True
    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    ending: Ending = Ending.OPEN
    ended: float | None = None
    executed: str = ""
    code: int = 0
    probe: bool = False
    router_died: bool = False
    key: str | None = None
    repeat: bool = False


@define(kw_only=True, eq=False)
class ModelListing:
    """The models listed by a router at a time, and the newest generation among them."""

    router: str
    at: float
    generation: int
    models: frozenset[str] = frozenset()
    final: bool = False


@frozen(kw_only=True)
class EndedPause:
    """A router that resumed at a time after a pause."""

    router: str
    at: float
    seconds: float


@frozen(kw_only=True)
class Partition:
    """A period in which a router reached neither the log service nor other routers."""

    router: str
    since: float
    until: float


@define(eq=False)
class Observations:
    """Everything that was recorded in one run of a fake fleet.

    ``final`` listings are read after the probes. ``leaving`` maps a target to the time at which
    the first router learned that it leaves; ``stopped`` maps a router to the time of its planned
    stop, unless it was killed before the stop ended; ``generations`` maps a published generation
    to the time of its acceptance and the routers that could reach the log service for all of
    ``IN_FORCE_SECONDS`` after it. ``weights`` maps accounts to their fair-share weights.
    """

    runs: list[Run] = field(factory=list)
    orders: list[OrderRecord] = field(factory=list)
    calls: list[CallRecord] = field(factory=list)
    model_listings: list[ModelListing] = field(factory=list)
    leaving: dict[str, float] = field(factory=dict)
    exited: set[str] = field(factory=set)
    stopped: dict[str, float] = field(factory=dict)
    generations: dict[int, tuple[float, frozenset[str]]] = field(factory=dict)
    partitions: list[Partition] = field(factory=list)
    ended_pauses: list[EndedPause] = field(factory=list)
    weights: dict[str, float] = field(factory=dict)
