"""Check that streams stay with one version, and that those that are taken up go on."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any

from attrs import define

from loomyard_standins.programs.invariant import Invariant, Violation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# Only from so many streams on a share is judged; fewer may fail by chance.
MIN_TAKEN_UP = 12
MIN_SHARE = 0.5
MIN_ENGINES = 2


@define
class Share:
    """How many attempts of how many brought an event."""

    served: int = 0
    sent: int = 0

    @property
    def value(self) -> float:
        return self.served / self.sent if self.sent else 1.0

    @property
    def as_text(self) -> str:
        return f"{self.served} of {self.sent}"

    def add(self, *, served: bool) -> None:
        """Count an attempt."""
        self.sent += 1
        self.served += served


class StreamChecker:
    """Check the events that callers got, by the id of the attempt that brought the first.

    ``is_in_touch(router, at)`` and ``is_usable(target, at)`` tell whether faults may have kept
    a router from serving and a target from getting requests; then shares are not judged.
    """

    def __init__(
        self,
        is_in_touch: Callable[[str, float], bool],
        is_usable: Callable[[str, float], bool],
    ) -> None:
        self.begun = Share()
        self.taken_up = Share()
        self._is_in_touch = is_in_touch
        self._is_usable = is_usable
        self._engines: dict[str, str] = {}
        self._versions: defaultdict[str, set[str]] = defaultdict(set)

    def record_engine_start(self, target: str, software_version: str) -> None:
        """Record that an engine of a version starts."""
        self._engines[target] = software_version

    def record_engine_end(self, target: str) -> None:
        """Record that an engine is about to end, or has crashed."""
        self._engines.pop(target, None)

    def check(self, message: dict[str, Any], router: str) -> Iterator[Violation]:
        """Apply what a caller got of an attempt, and yield a violation for two versions."""
        stream, at, served = message["stream"], message["at"], bool(message["versions"])
        began = self._versions[stream]
        if message["harmless"] and self._is_in_touch(router, at):
            if message["saw"] == stream:
                if self._count_engines(None, at) >= MIN_ENGINES:
                    self.begun.add(served=served)
            elif began and self._count_engines(next(iter(began)), at) >= MIN_ENGINES:
                self.taken_up.add(served=served)
        mixed = len(began) > 1
        began.update(message["versions"])
        if len(began) > 1 and not mixed:
            detail = f"{stream} holds events of {sorted(began)}, the last by {message['saw']}"
            yield Violation(Invariant.ONE_VERSION, detail)

    def find_lost(self) -> Iterator[Violation]:
        """Yield a violation where taken up streams went on too rarely; to call at the end."""
        if self.taken_up.sent < MIN_TAKEN_UP:
            return
        if self.taken_up.value < MIN_SHARE * self.begun.value:
            detail = f"{self.taken_up.as_text} went on, {self.begun.as_text} began"
            yield Violation(Invariant.TAKEN_UP, detail)

    def _count_engines(self, software_version: str | None, at: float) -> int:
        return sum(
            software_version in (None, version) and self._is_usable(target, at)
            for target, version in self._engines.items()
        )
