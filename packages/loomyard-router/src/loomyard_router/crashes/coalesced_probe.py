"""One crash check for all requests that fail at a target together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.event import AsyncResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_incarnation import TargetLife


class CoalescedProbe:
    """Shares one probe between all requests that failed at an incarnation.

    An answer that was lost, corrupted or reset in transit does not implicate the request. The VM of
    a process that has ended refuses the next connection, which is known within a millisecond.
    """

    def __init__(
        self,
        *,
        probe: Callable[[AnnouncedTarget], bool],
        connect: Callable[[AnnouncedTarget], bool],
    ) -> None:
        self._probe = probe
        self._connect = connect
        self._ended: set[TargetLife] = set()
        self._probing: dict[TargetLife, AsyncResult] = {}
        self._connecting: dict[TargetLife, AsyncResult] = {}

    def has_ended(self, target: AnnouncedTarget) -> bool:
        """Return whether this incarnation of a target has ended; waits for the probe."""
        return self._share(target, self._probe, self._probing)

    def has_refused(self, target: AnnouncedTarget) -> bool:
        """Return whether this incarnation refuses a connection; waits for it."""
        return self._share(target, self._connect, self._connecting)

    def _share(
        self,
        target: AnnouncedTarget,
        probe: Callable[[AnnouncedTarget], bool],
        under_way: dict[TargetLife, AsyncResult],
    ) -> bool:
        incarnation = target.incarnation
        if incarnation in self._ended:
            return True
        pending = under_way.get(incarnation)
        if pending is not None:
            return bool(pending.get())
        pending = under_way[incarnation] = AsyncResult()
        ended = False
        try:
            ended = probe(target)
        finally:
            del under_way[incarnation]
            pending.set(ended)
        if ended:
            self._ended.add(incarnation)
        return ended

    def record_response(self, incarnation: TargetLife) -> None:
        """Record that a target began an answer: it refused a connection for another reason."""
        self._ended.discard(incarnation)

    def retain(self, known: set[TargetLife]) -> None:
        """Drop the results of all other incarnations."""
        self._ended &= known
