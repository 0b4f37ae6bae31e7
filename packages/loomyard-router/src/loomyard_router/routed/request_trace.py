"""What was decided for a request and what it was decided on, for the one line in the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from loomyard_router.admission.slot_permit import SlotPermit


@define(eq=False)
class RequestTrace:
    """Times are monotonic; ``taken`` is the number of places in use as the keeper said it.

    ``choice`` is the rank of the target among those for the prompt, 0 for the preferred one.
    ``share_used`` is what the account got lately in the fleet in parts of its share, ``None``
    where no share is known. ``objection`` is why the keeper asked last gave no place, ``expected``
    in how many seconds the other one expected the first event. ``broken`` says why an answer that
    had begun was broken off.
    """

    target: str = ""
    attempts: int = 0
    taken: int = -1
    choice: int = -1
    share_used: float | None = None
    broken: str = ""
    refusal_reason: str = ""
    expected: float = 0.0
    placed_at: float | None = None
    first_at: float | None = None

    def place(self, place: SlotPermit, now: float) -> None:
        """Take in that a place was given."""
        self.target = place.target.id
        self.taken = place.taken
        self.choice = place.choice
        self.expected = place.expected
        self.placed_at = now
        self.attempts += 1

    def answer(self, now: float) -> None:
        """Take in that the answer began."""
        if self.first_at is None:
            self.first_at = now
