"""Decisions on a request and the values behind them, for its log line."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from loomyard_router.admission.slot_permit import SlotPermit


@define(eq=False)
class RequestTrace:
    """Values of the log line of a request; those of an attempt are of the last one.

    Times are in seconds of the monotonic clock. ``software_version`` is that of the target.
    ``slots_in_use`` is the count at the target that the slot owner reported. ``target_rank`` is the
    rank of the target among those for the prompt, 0 for the preferred one. ``share_used`` is the
    recent usage of the account in the fleet divided by its share, ``None`` where no share is known.
    ``refusal_reason`` is that of the last slot owner that refused, or ``no_reply`` where none
    replied last; ``expected_ttft`` is the time to first token in seconds predicted by the one that
    granted. ``broken`` is why an answer broke off, and ``ended_by_close``
    whether the last answer ended with its connection. ``targets_age`` is how many seconds before
    the send the feed of targets was read.
    """

    target: str = ""
    software_version: str = ""
    attempts: int = 0
    slots_in_use: int = -1
    target_rank: int = -1
    share_used: float | None = None
    broken: str = ""
    ended_by_close: bool = False
    refusal_reason: str = ""
    expected_ttft: float = 0.0
    slot_at: float | None = None
    answer_started_at: float | None = None
    targets_age: float | None = None

    def record_slot(self, permit: SlotPermit, now: float) -> None:
        """Record that a slot was granted for the next attempt."""
        self.target = permit.target.id
        self.software_version = permit.target.software_version
        self.slots_in_use = permit.slots_in_use
        self.target_rank = permit.target_rank
        self.expected_ttft = permit.expected_ttft
        self.slot_at = now
        self.attempts += 1

    def record_answer_start(self, now: float) -> None:
        """Record when the first answer began."""
        if self.answer_started_at is None:
            self.answer_started_at = now
