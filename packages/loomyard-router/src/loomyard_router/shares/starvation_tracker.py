"""Protection from starvation: requests that waited too long without any admission go next."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard_router.shares.waiting import WaitingRequest

# Seconds without an admission.
STARVATION_LIMIT = 30.0


class StarvationTracker:
    """Last admissions by service and account.

    An account is starved for a service if its oldest request has waited ``STARVATION_LIMIT``
    seconds and none was admitted in that time; a long backlog that is being served is not starved.
    """

    def __init__(self) -> None:
        self._admitted_at: dict[tuple[str, str], float] = {}

    def record_admission(self, waiting: WaitingRequest, now: float) -> None:
        """Record the admission of a request."""
        self._admitted_at[_key(waiting)] = now

    def is_starved(self, waiting: WaitingRequest, now: float) -> bool:
        """Return whether ``waiting``, the oldest request of its account, is starved."""
        if now - waiting.enqueued_at < STARVATION_LIMIT:
            return False
        return now - self._admitted_at.get(_key(waiting), waiting.enqueued_at) >= STARVATION_LIMIT


def _key(waiting: WaitingRequest) -> tuple[str, str]:
    return waiting.service.metadata.name, waiting.account.metadata.name
