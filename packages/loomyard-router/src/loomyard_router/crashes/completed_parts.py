"""Parts of prompts on which targets of this router completed answers lately."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.crashes.suspect import make_part_name
from loomyard_router.routed.request_head import PromptPart

if TYPE_CHECKING:
    from loomyard.clock import Clock

# For how long a completion is evidence; in this time most parts in use occur again.
RETENTION_SECONDS = 60.0
MAX_COMPLETIONS = 1024
MAX_PARTS = 4096


@frozen
class _Completion:
    until: float
    service: str
    model: str
    parts: tuple[PromptPart, ...]


class CompletedParts:
    """The parts of the last completed answers, each until its first use as evidence.

    Used once, since a part may begin to crash targets after it was completed on. Names are made
    when one is looked for, which is rare.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._completions: deque[_Completion] = deque(maxlen=MAX_COMPLETIONS)
        self._until: dict[str, float] = {}

    def record(self, service: str, model: str, parts: tuple[PromptPart, ...]) -> None:
        """Record the parts of a completed answer."""
        if parts:
            until = self._clock.now() + RETENTION_SECONDS
            self._completions.append(_Completion(until, service, model, parts))

    def take(self, name: str) -> bool:
        """Return whether an answer on a part was completed lately, and forget it."""
        if self._completions:
            self._index()
        return self._until.pop(name, 0.0) > self._clock.now()

    def _index(self) -> None:
        now = self._clock.now()
        self._until = {name: until for name, until in self._until.items() if until > now}
        for one in self._completions:
            for part in one.parts:
                name = make_part_name(service=one.service, model=one.model, part_id=part.id)
                self._until[name] = one.until
        self._completions.clear()
        for name in list(self._until)[:-MAX_PARTS]:
            del self._until[name]
