"""A statement that something is leaving or has returned, as it goes between routers."""

from __future__ import annotations

from attrs import frozen


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
        return LeavingRecord(self.version, self.sequence + 1, leaving)
