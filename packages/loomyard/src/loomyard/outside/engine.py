"""A target as the router calls it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import field, frozen

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault


@frozen(kw_only=True)
class TargetCall:
    """One attempt at one target.

    ``attempt_id`` is unique over the fleet; answers carry it back. ``deadline`` is in seconds
    of the monotonic clock. A call that is not ``idempotent`` is never sent twice by the adapter.
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
    """An answer whose body is read as it arrives."""

    @property
    def status(self) -> int:
        """Return the HTTP status."""

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Return the headers."""

    @property
    def attempt_id(self) -> str:
        """Return the attempt the target says it answers; empty where it says nothing."""

    def read(self) -> Result[bytes, Fault]:
        """Return the next bytes; empty at the end of a whole body."""

    def close(self) -> None:
        """Give the connection up or back."""


@frozen(kw_only=True)
class LoadReport:
    """What an engine says of its load; the report may be seconds old."""

    running: int
    waiting: int
    step_seconds: float
    models: list[str] = field(factory=list)
    fencing: int = -1
    leaving: bool = False


@frozen(kw_only=True)
class CacheEvent:
    """A prompt prefix entered or left the cache of an engine."""

    sequence: int
    prefix: str
    stored: bool


@frozen(kw_only=True)
class EngineOrder:
    """An order to an engine under a fencing number."""

    action: str
    subject: str
    fencing: int


class Engine(Protocol):
    """Call a target and steer an engine.

    A fault of ``open`` with ``Executed.NO`` means that nothing was sent; with
    ``Executed.UNKNOWN`` bytes went out and no answer came.
    """

    def open(self, call: TargetCall) -> Result[TargetAnswer, Fault]:
        """Send a call and return its answer once the headers are there."""

    def resume(self, call: TargetCall, after: int) -> Result[TargetAnswer, Fault]:
        """Return the rest of a running or kept stream after an event number."""

    def cancel(self, url: str, attempt_id: str) -> Result[None, Fault]:
        """Stop the work of an attempt."""

    def load(self, url: str) -> Result[LoadReport, Fault]:
        """Return the load report."""

    def cache_events(self, url: str, after: int) -> Result[list[CacheEvent], Fault]:
        """Return cache events after a sequence number; there may be gaps."""

    def order(self, url: str, order: EngineOrder) -> Result[None, Fault]:
        """Give an order."""
