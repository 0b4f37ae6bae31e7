"""Join the word that a target has ended to what it broke off some seconds before."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard.clock import Clock
    from loomyard_router.announced.target_incarnation import TargetIncarnation

# What breaks as a process ends breaks within milliseconds; a busy router sees it over some turns.
TOGETHER_SECONDS = 0.1
# An entry vanishes after three silent heartbeats of a second or so, or with the next life.
LATEST_SECONDS = 10.0
MOST_LIVES = 64
MOST_TOGETHER = 256


@frozen
class BrokenRequest:
    """A request that was broken off, by its fingerprint and the rank of its send."""

    fingerprint: str
    rank: int


@define
class _Suspected:
    first_at: float
    broken: list[BrokenRequest] = field(factory=list)
    # Attempts that began later and ended without a byte.
    in_vain: int = 0


class LateVerdicts:
    """Remember what ran where answers broke off, until it is known whether the target had ended.

    A target that only lost an answer goes on answering others; then nobody is blamed. One that
    ended answers nothing any more: all that ran there broke together, at least one later attempt
    ended without a byte, and its entry vanishes or names another life.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspected: dict[TargetIncarnation, _Suspected] = {}

    def note_broken(
        self, life: TargetIncarnation, request: BrokenRequest, *, answered: bool
    ) -> None:
        """Take in that a life broke an attempt off, after bytes of an answer or before any."""
        now = self._clock.now()
        suspected = self._suspected.get(life)
        if suspected is None or now - suspected.first_at > LATEST_SECONDS:
            if len(self._suspected) >= MOST_LIVES:
                del self._suspected[next(iter(self._suspected))]
            self._suspected[life] = _Suspected(now, [request])
        elif now - suspected.first_at <= TOGETHER_SECONDS:
            if len(suspected.broken) < MOST_TOGETHER:
                suspected.broken.append(request)
        elif answered:
            # It had begun an answer since, so it lived on.
            self._suspected[life] = _Suspected(now, [request])
        else:
            suspected.in_vain += 1

    def note_heard(self, life: TargetIncarnation) -> None:
        """Take in that a life answered."""
        self._suspected.pop(life, None)

    def take_ended(
        self, known: set[TargetIncarnation]
    ) -> Iterable[tuple[TargetIncarnation, BrokenRequest]]:
        """Return what ran at lives that are known no more as they ended, once for each life."""
        oldest = self._clock.now() - LATEST_SECONDS
        for life in self._suspected.keys() - known:
            suspected = self._suspected.pop(life)
            if suspected.in_vain and suspected.first_at >= oldest:
                yield from ((life, request) for request in suspected.broken)
