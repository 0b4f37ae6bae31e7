"""Put parts of snapshots together."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.configuration.snapshot import SnapshotPart

MAX_PARTS = 4096


class SnapshotAssembly:
    """Collect parts as they come: doubled, out of order, of several snapshots."""

    def __init__(self) -> None:
        self._parts: dict[tuple[int, bytes, int], dict[int, SnapshotPart]] = {}

    def add(self, part: SnapshotPart) -> None:
        """Take in a part; one that cannot belong to a snapshot is dropped."""
        if not 0 <= part.index < part.count <= MAX_PARTS:
            return
        key = (part.as_of, part.checksum, part.count)
        self._parts.setdefault(key, {}).setdefault(part.index, part)

    def complete(self, *, least: int) -> list[tuple[SnapshotPart, ...]]:
        """Return the complete snapshots as of ``least`` or later, the newest first."""
        found = [
            tuple(parts[index] for index in range(count))
            for (as_of, _, count), parts in self._parts.items()
            if as_of >= least and len(parts) == count
        ]
        return sorted(found, key=lambda parts: -parts[0].as_of)
