"""Bugs that are planted before and behind a router, to prove the checkers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import evolve

from loomyard.errors import Executed

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from result import Result

    from loomyard.errors import Fault
    from loomyard.external.engine import Engine, TargetAnswer, TargetCall


class BuggyEngine:
    """Pass every call on."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    def __getattr__(self, name: str) -> Any:
        return getattr(self.engine, name)

    def open(self, call: TargetCall) -> Result[TargetAnswer, Fault]:
        return self.engine.open(call)


class SendsTwice(BuggyEngine):
    """Send each call twice, as a blind retry does."""

    def open(self, call: TargetCall) -> Result[TargetAnswer, Fault]:
        self.engine.open(evolve(call, attempt_id=f"{call.attempt_id}.again"))
        return self.engine.open(call)


class DeniesExecution(BuggyEngine):
    """Say that nothing was sent where an answer was lost."""

    def open(self, call: TargetCall) -> Result[TargetAnswer, Fault]:
        return self.engine.open(call).map_err(lambda fault: evolve(fault, executed=Executed.NO))


class ChangesAnswers:
    """Change each piece of an answer on its way to the caller."""

    def __init__(self, app: Callable[..., Iterable[bytes]]) -> None:
        self._app = app

    def change(self, data: bytes) -> bytes:
        """Return the changed piece."""
        return data

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterator[bytes]:
        for data in self._app(environ, start_response):
            yield self.change(data)


class CrossesAnswers(ChangesAnswers):
    """Give a caller the text of another."""

    def change(self, data: bytes) -> bytes:
        return data.replace(b"kiosk/", b"labels/")


class DoublesEvents(ChangesAnswers):
    """Give each event twice."""

    def change(self, data: bytes) -> bytes:
        return data + data if data.startswith(b"id: 2") else data


class DropsEvents(ChangesAnswers):
    """Leave an event out."""

    def change(self, data: bytes) -> bytes:
        return b": none\n\n" if data.startswith(b"id: 2") else data


class CutsWholeAnswers(ChangesAnswers):
    """End an answer cleanly in its middle."""

    def change(self, data: bytes) -> bytes:
        return data[: len(data) // 2]
