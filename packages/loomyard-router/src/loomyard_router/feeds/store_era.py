"""The newest era of the store that this router knows."""

from __future__ import annotations

from attrs import define


@define(eq=False)
class StoreEra:
    """Drop answers of an era before the newest; a store rolled back to a copy begins a new era.

    ``dropped`` counts such answers, of the store and of other routers.
    """

    newest: int = 0
    dropped: int = 0

    def observe(self, era: int) -> None:
        """Record an era that another router or the store knows."""
        self.newest = max(self.newest, era)

    def accept(self, era: int) -> bool:
        """Record the era of an answer; count it and return false where a later era is known."""
        if era < self.newest:
            self.dropped += 1
            return False
        self.newest = era
        return True
