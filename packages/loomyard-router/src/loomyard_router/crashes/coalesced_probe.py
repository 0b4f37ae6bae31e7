"""Tell whether a target that broke an answer off has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.event import AsyncResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_incarnation import TargetIncarnation


class CoalescedProbe:
    """Find out once for all that broke there together.

    An answer that was lost, spoiled or reset on its way says nothing of the request; the machine of
    a process that has ended refuses the next connection, and that is known within a millisecond.
    """

    def __init__(self, find_out: Callable[[AnnouncedTarget], bool]) -> None:
        self._find_out = find_out
        self._ended: set[TargetIncarnation] = set()
        self._asked: dict[TargetIncarnation, AsyncResult] = {}

    def has_ended(self, target: AnnouncedTarget) -> bool:
        """Return whether this life of a target has ended; waits for its word."""
        life = target.incarnation
        if life in self._ended:
            return True
        asked = self._asked.get(life)
        if asked is not None:
            return bool(asked.get())
        asked = self._asked[life] = AsyncResult()
        ended = False
        try:
            ended = self._find_out(target)
        finally:
            del self._asked[life]
            asked.set(ended)
        if ended:
            self._ended.add(life)
        return ended

    def retain(self, known: set[TargetIncarnation]) -> None:
        """Forget lives of targets that are not known any more."""
        self._ended &= known
