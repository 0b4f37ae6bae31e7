"""For how long a target that leaves may get new requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from loomyard_router.feeds.store_times import StoreTimes

# Seconds that a request may take from the choice of its target until it arrives there.
SEND_SECONDS = 0.25
# An own read that is outstanding for so many seconds would have been answered with a record that
# the store accepted before, were the store in reach.
UNANSWERED_SECONDS = 0.25


@frozen(kw_only=True)
class DepartureTerms:
    """The users' bounds on targets that leave, in seconds.

    A target goes on serving for ``drain`` after the store accepted that it leaves. A router is not
    bound by that until ``contact`` after a disturbance of the store or of its own links.
    """

    drain: float = 2.0
    contact: float = 3.0

    def latest_use(self, times: StoreTimes, now: float) -> float:
        """Return until when a target may be chosen whose departure was read just now."""
        latest = max(times.read_up_to + self.drain, times.failed_after + self.contact)
        if now - times.reading_since >= UNANSWERED_SECONDS:
            # Another router reported it. Either the store accepted it just now, or the own read
            # is cut off from the store.
            accepted_at = now - UNANSWERED_SECONDS
            latest = max(latest, min(accepted_at + self.drain, times.in_reach_at + self.contact))
        return latest - SEND_SECONDS
