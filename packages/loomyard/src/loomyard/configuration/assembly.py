"""Reassembly of snapshots from their parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.configuration.snapshot import SnapshotPart

MAX_PARTS = 4096


class SnapshotAssembly:
    """A collector of parts of several snapshots, which may be duplicate and out of order."""

    def __init__(self) -> None:
        self._parts: dict[tuple[int, bytes, int], dict[int, SnapshotPart]] = {}

    def add(self, part: SnapshotPart) -> None:
        """Add a part; drop it if its index or count is out of range."""
        if not 0 <= part.index < part.count <= MAX_PARTS:
            return
        key = (part.as_of, part.checksum, part.count)
        self._parts.setdefault(key, {}).setdefault(part.index, part)

    def complete(self, *, min_offset: int) -> list[tuple[SnapshotPart, ...]]:
        """Return the complete snapshots as of log offset ``least`` or later, newest first."""
        found = [
            tuple(parts[index] for index in range(count))
            for (as_of, _, count), parts in self._parts.items()
            if as_of >= min_offset and len(parts) == count
        ]
        return sorted(found, key=lambda parts: -parts[0].as_of)
