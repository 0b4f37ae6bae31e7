"""A position in a feed."""

from __future__ import annotations

from attrs import frozen

# Bits of the offset in the number that encodes a position; an era rises once for each rollback.
OFFSET_BITS = 44


@frozen(order=True)
class FeedPosition:
    """The position of the next record: an offset in an era of the store, ordered by era first.

    An era is an epoch of the store. A store that comes back from an older copy begins a new one and
    assigns offsets again, so an offset alone is ambiguous. A store that reports no era stays in
    era 0.
    """

    era: int = 0
    offset: int = -1

    @property
    def number(self) -> int:
        """Return the position encoded as one number that sorts alike."""
        return self.offset if self.offset < 0 else (self.era << OFFSET_BITS) + self.offset


# The position in a feed of which nothing was read.
NO_POSITION = FeedPosition()


def decode_position(number: int) -> FeedPosition:
    """Decode a position from ``FeedPosition.number``."""
    if number < 0:
        return NO_POSITION
    return FeedPosition(era=number >> OFFSET_BITS, offset=number & ((1 << OFFSET_BITS) - 1))
