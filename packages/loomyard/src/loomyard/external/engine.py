"""Protocol of calls from a router to targets and model engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import field, frozen

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault


@frozen(kw_only=True)
class TargetCall:
    """One attempt at one target.

    ``attempt_id`` is unique in the fleet; the target repeats it in its answer. ``deadline`` is a
    time of the monotonic clock. The adapter never sends a call twice that is not ``idempotent``.
    """

    attempt_id: str
    url: str
    method: str
    path: str
    headers: list[tuple[str, str]] = field(factory=list)
    body: bytes = b""
    deadline: float
    idempotent: bool = True


class TargetAnswer(Protocol):
    """An answer with a body that is read incrementally."""

    @property
    def status(self) -> int:
        """Return the HTTP status."""

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Return the headers."""

    @property
    def attempt_id(self) -> str:
        """Return the attempt id stated by the target, empty if it states none."""

    def read(self) -> Result[bytes, Fault]:
        """Return the next bytes, empty at the end of a complete body."""

    def close(self) -> None:
        """Release the connection, which is closed unless the body was read to its end."""


@frozen(kw_only=True)
class LoadReport:
    """The load that an engine reports; it may be seconds old."""

    running: int
    waiting: int
    step_seconds: float
    models: list[str] = field(factory=list)
    fencing: int = -1
    leaving: bool = False


@frozen(kw_only=True)
class CacheEvent:
    """An event of an engine's cache: a prompt prefix was stored or evicted."""

    sequence: int
    prefix: str
    stored: bool


@frozen(kw_only=True)
class EngineOrder:
    """An order to an engine, such as to load a model, with a fencing number."""

    action: str
    subject: str
    fencing: int


class Engine(Protocol):
    """Client of targets and of the control interface of engines.

    A fault of ``open`` has ``Executed.NO`` if nothing was sent, ``Executed.UNKNOWN`` if bytes were
    sent and no answer was received.
    """

    def open(self, call: TargetCall) -> Result[TargetAnswer, Fault]:
        """Send a call and return its answer once the headers have arrived."""

    def resume(self, call: TargetCall, after: int) -> Result[TargetAnswer, Fault]:
        """Return the rest of a running or retained stream after an event number."""

    def cancel(self, url: str, attempt_id: str) -> Result[None, Fault]:
        """Cancel an attempt at its target."""

    def load(self, url: str) -> Result[LoadReport, Fault]:
        """Fetch the load report of an engine."""

    def cache_events(self, url: str, after: int) -> Result[list[CacheEvent], Fault]:
        """Fetch the cache events after a sequence number; there may be gaps."""

    def order(self, url: str, order: EngineOrder) -> Result[None, Fault]:
        """Send an order to an engine."""
