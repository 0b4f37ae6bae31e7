"""What was decided for a request and what it was decided on, for the one line in the log."""

from __future__ import annotations

from attrs import define


@define(eq=False)
class RequestTrace:
    """Times are monotonic; ``taken`` is the number of places in use as the keeper said it."""

    target: str = ""
    attempts: int = 0
    taken: int = -1
    placed_at: float | None = None
    first_at: float | None = None

    def place(self, target: str, taken: int, now: float) -> None:
        """Take in that a place was given."""
        self.target = target
        self.taken = taken
        self.placed_at = now
        self.attempts += 1

    def answer(self, now: float) -> None:
        """Take in that the answer began."""
        if self.first_at is None:
            self.first_at = now
