"""What targets and callers saw: the only evidence that the checkers use."""

from __future__ import annotations

from enum import Enum

from attrs import define, field, frozen


@define(kw_only=True, eq=False)
class Run:
    """A call that reached a target.

    ``marker`` names the request, ``tokens`` counts what was generated. A call that the target
    refused was not run.
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
class OrderSeen:
    """An order that reached a target, and whether it took effect."""

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
class CallerSaw:
    """One call as its caller saw it; ``expected`` is the text or body of the whole answer."""

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
class ModelsSeen:
    """The models that a router listed to a caller, and the newest generation among them."""

    router: str
    at: float
    generation: int
    models: frozenset[str] = frozenset()
    final: bool = False


@frozen(kw_only=True)
class Woken:
    """A router that went on after a pause of some seconds."""

    router: str
    at: float
    slept: float


@define(eq=False)
class Sightings:
    """Everything that was seen.

    A ``probe`` is a call after all faults are mended; ``final`` lists were read at the very end.
    ``leaving`` maps a target to the time from which the first router knew; ``stopped`` maps a
    router to the time of its planned stop, unless it died in between; ``generations`` maps a
    published generation to the time of its acceptance and the routers that could reach the log
    for the whole time allowed.
    """

    runs: list[Run] = field(factory=list)
    orders: list[OrderSeen] = field(factory=list)
    callers: list[CallerSaw] = field(factory=list)
    seen: list[ModelsSeen] = field(factory=list)
    leaving: dict[str, float] = field(factory=dict)
    exited: set[str] = field(factory=set)
    stopped: dict[str, float] = field(factory=dict)
    generations: dict[int, tuple[float, frozenset[str]]] = field(factory=dict)
    woken: list[Woken] = field(factory=list)
    weights: dict[str, float] = field(factory=dict)
