"""Detection of crashes that become known some seconds after requests failed."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard.clock import Clock
    from loomyard_router.announced.target_incarnation import TargetLife

# A crash breaks all attempts at a target within milliseconds; a busy router sees that over several
# iterations of its event loop.
SIMULTANEOUS_SECONDS = 0.1
# The entry of a crashed target vanishes after three missed heartbeats of about a second, or is
# replaced by its next incarnation.
MAX_DELAY_SECONDS = 10.0
MAX_SUSPECTED = 64
MAX_ATTEMPTS = 256


@frozen
class BrokenAttempt:
    """A failed attempt: its request, the suspected parts of its prompt, and ranks above 1."""

    fingerprint: str
    parts: frozenset[str] = frozenset()
    ranks: Mapping[str, int] = field(factory=dict)

    @property
    def suspects(self) -> frozenset[str]:
        return self.parts | {self.fingerprint}

    def rank(self, suspect: str) -> int:
        """Return the rank of the attempt among those of a suspect."""
        return self.ranks.get(suspect, 1)


@define
class _SuspectedCrash:
    first_at: float
    attempts: list[BrokenAttempt] = field(factory=list)
    # Later attempts that failed without a byte of an answer.
    unanswered: int = 0


class LateCrashDetector:
    """Remembers failed attempts by incarnation until it is known whether the target crashed.

    A target that only lost an answer goes on answering others; then no request is blamed. After a
    crash, all attempts there failed together, at least one later attempt failed without a byte,
    and the entry of the target vanishes or names another incarnation.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspected: dict[TargetLife, _SuspectedCrash] = {}

    def record_failure(
        self, incarnation: TargetLife, attempt: BrokenAttempt, *, answered: bool
    ) -> None:
        """Record a failed attempt; ``answered`` says that bytes of an answer had arrived."""
        now = self._clock.now()
        suspected = self._suspected.get(incarnation)
        if suspected is None or now - suspected.first_at > MAX_DELAY_SECONDS:
            if len(self._suspected) >= MAX_SUSPECTED:
                del self._suspected[next(iter(self._suspected))]
            self._suspected[incarnation] = _SuspectedCrash(now, [attempt])
        elif now - suspected.first_at <= SIMULTANEOUS_SECONDS:
            if len(suspected.attempts) < MAX_ATTEMPTS:
                suspected.attempts.append(attempt)
        elif answered:
            # The target began an answer after the first failure, so it had not crashed then.
            self._suspected[incarnation] = _SuspectedCrash(now, [attempt])
        else:
            suspected.unanswered += 1

    def record_response(self, incarnation: TargetLife) -> None:
        """Record that an incarnation began an answer, so it had not crashed."""
        self._suspected.pop(incarnation, None)

    def pop_crashed(self, known: set[TargetLife]) -> Iterable[tuple[TargetLife, BrokenAttempt]]:
        """Yield the attempts that failed at crashed incarnations, once each.

        ``known`` holds the listed incarnations. One crashed if it is not listed any more and a
        later attempt there failed without an answer.
        """
        oldest = self._clock.now() - MAX_DELAY_SECONDS
        for incarnation in self._suspected.keys() - known:
            suspected = self._suspected.pop(incarnation)
            if suspected.unanswered and suspected.first_at >= oldest:
                yield from ((incarnation, attempt) for attempt in suspected.attempts)
