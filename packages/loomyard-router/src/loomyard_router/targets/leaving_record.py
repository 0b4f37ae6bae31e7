"""A statement that something is leaving or has returned, as it goes between routers."""

from __future__ import annotations

from attrs import frozen

SEQUENCE_BITS = 24
SEQUENCE_MASK = (1 << SEQUENCE_BITS) - 1


@frozen(order=True)
class LeavingRecord:
    """The greater record is the newer one; of two equal ones "leaving" is the greater.

    ``version`` is the log offset of the object's configuration, ``sequence`` counts the changes
    of mind under it.
    """

    version: int
    sequence: int
    leaving: bool

    def follow(self, version: int, *, leaving: bool) -> LeavingRecord:
        """Return the record that replaces this one."""
        if version > self.version:
            return LeavingRecord(version, 0, leaving)
        return LeavingRecord(self.version, min(self.sequence + 1, SEQUENCE_MASK), leaving)

    def to_number(self) -> int:
        """Return a number of the same order."""
        return ((self.version + 1) << SEQUENCE_BITS | self.sequence) << 1 | self.leaving


def leaving_record(number: int) -> LeavingRecord:
    """Return the record of a number."""
    rest, leaving = divmod(number, 2)
    return LeavingRecord((rest >> SEQUENCE_BITS) - 1, rest & SEQUENCE_MASK, bool(leaving))
