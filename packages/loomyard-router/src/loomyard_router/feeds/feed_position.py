"""A place in a feed."""

from __future__ import annotations

from attrs import frozen

# Bits of the offset where a position travels as one number; an era rises once for each loss.
OFFSET_BITS = 44


@frozen(order=True)
class FeedPosition:
    """Where the next record stands: an offset in an era of the store, ordered by era first.

    A store that comes back from an older copy begins a new era and gives offsets out again, so an
    offset alone names no place. A store that tells no era has one for ever.
    """

    era: int = 0
    offset: int = -1

    @property
    def number(self) -> int:
        """Return the position as one number, in the same order."""
        return self.offset if self.offset < 0 else (self.era << OFFSET_BITS) + self.offset


NO_POSITION = FeedPosition()


def read_position(number: int) -> FeedPosition:
    """Make the position that a number stands for."""
    if number < 0:
        return NO_POSITION
    return FeedPosition(era=number >> OFFSET_BITS, offset=number & ((1 << OFFSET_BITS) - 1))
