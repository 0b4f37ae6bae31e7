"""The newest era of the store that this router has heard of."""

from __future__ import annotations

from attrs import define


@define(eq=False)
class StoreEra:
    """Judge answers by their era: what belongs to an earlier one than the newest is dropped.

    ``dropped`` counts such answers, of the store and of other routers.
    """

    newest: int = 0
    dropped: int = 0

    def observe(self, era: int) -> None:
        """Take in an era that somebody knows of."""
        self.newest = max(self.newest, era)

    def accept(self, era: int) -> bool:
        """Take in the era of an answer; false where a later one is known."""
        if era < self.newest:
            self.dropped += 1
            return False
        self.newest = era
        return True
