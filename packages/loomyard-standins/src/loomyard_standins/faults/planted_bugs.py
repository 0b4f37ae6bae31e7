"""Bugs planted between a router and its callers or targets, to test the checkers."""

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
    """Engine wrapper without a bug; base of the buggy engines."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    def __getattr__(self, name: str) -> Any:
        return getattr(self.engine, name)

    def open(self, call: TargetCall) -> Result[TargetAnswer, Fault]:
        return self.engine.open(call)


class SendsTwice(BuggyEngine):
    """Send each call twice, as an unconditional retry would."""

    def open(self, call: TargetCall) -> Result[TargetAnswer, Fault]:
        self.engine.open(evolve(call, attempt_id=f"{call.attempt_id}.again"))
        return self.engine.open(call)


class DeniesExecution(BuggyEngine):
    """Report a call whose answer was lost as not executed."""

    def open(self, call: TargetCall) -> Result[TargetAnswer, Fault]:
        return self.engine.open(call).map_err(lambda fault: evolve(fault, executed=Executed.NO))


class ChangesAnswers:
    """WSGI wrapper that passes each chunk of an answer through ``change``."""

    def __init__(self, app: Callable[..., Iterable[bytes]]) -> None:
        self._app = app

    def change(self, data: bytes) -> bytes:
        """Return the chunk that the caller gets instead."""
        return data

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterator[bytes]:
        for data in self._app(environ, start_response):
            yield self.change(data)


class CrossesAnswers(ChangesAnswers):
    """Replace the text of one account by that of another."""

    def change(self, data: bytes) -> bytes:
        return data.replace(b"kiosk/", b"labels/")


class DoublesEvents(ChangesAnswers):
    """Duplicate the event with id 2 of a stream."""

    def change(self, data: bytes) -> bytes:
        return data + data if data.startswith(b"id: 2") else data


class DropsEvents(ChangesAnswers):
    """Drop the event with id 2 of a stream."""

    def change(self, data: bytes) -> bytes:
        return b": none\n\n" if data.startswith(b"id: 2") else data


class CutsWholeAnswers(ChangesAnswers):
    """Cut each chunk in half while the answer still ends cleanly."""

    def change(self, data: bytes) -> bytes:
        return data[: len(data) // 2]
