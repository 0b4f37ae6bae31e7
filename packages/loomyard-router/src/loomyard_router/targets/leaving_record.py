"""The replicated record of whether a target or VM is leaving."""

from __future__ import annotations

from attrs import frozen

SEQUENCE_BITS = 24
SEQUENCE_MASK = (1 << SEQUENCE_BITS) - 1


@frozen(order=True)
class LeavingRecord:
    """A totally ordered record: the greater one is the newer; at a tie, "leaving" wins.

    ``version`` is the log offset of the object's configuration, ``sequence`` counts the changes
    between leaving and returned under it.
    """

    version: int
    sequence: int
    leaving: bool

    def successor(self, version: int, *, leaving: bool) -> LeavingRecord:
        """Return the record that replaces this one, with the next sequence or a new version."""
        if version > self.version:
            return LeavingRecord(version, 0, leaving)
        return LeavingRecord(self.version, min(self.sequence + 1, SEQUENCE_MASK), leaving)

    def to_number(self) -> int:
        """Encode as an integer with the same order."""
        return ((self.version + 1) << SEQUENCE_BITS | self.sequence) << 1 | self.leaving


def decode_leaving_record(number: int) -> LeavingRecord:
    """Decode the integer of ``LeavingRecord.to_number``."""
    rest, leaving = divmod(number, 2)
    return LeavingRecord((rest >> SEQUENCE_BITS) - 1, rest & SEQUENCE_MASK, bool(leaving))
