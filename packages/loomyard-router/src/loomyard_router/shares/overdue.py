"""The floor by age: what waits too long without any admission goes next."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard_router.shares.waiting import WaitingRequest

OVERDUE_AFTER = 30.0


class Overdue:
    """Last admissions by service and account.

    An account is overdue in a service where its oldest request waited ``OVERDUE_AFTER`` seconds
    and none was admitted meanwhile, so a backlog alone does not make it so.
    """

    def __init__(self) -> None:
        self._admitted_at: dict[tuple[str, str], float] = {}

    def note(self, waiting: WaitingRequest, now: float) -> None:
        """Take in an admission."""
        self._admitted_at[_key(waiting)] = now

    def applies(self, waiting: WaitingRequest, now: float) -> bool:
        """Tell whether the oldest request of an account is overdue."""
        if now - waiting.enqueued_at < OVERDUE_AFTER:
            return False
        return now - self._admitted_at.get(_key(waiting), waiting.enqueued_at) >= OVERDUE_AFTER


def _key(waiting: WaitingRequest) -> tuple[str, str]:
    return waiting.service.metadata.name, waiting.account.metadata.name
