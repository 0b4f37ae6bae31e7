"""The records of a snapshot: its parts and the notice that it is complete."""

from __future__ import annotations

from attrs import frozen

PART_BYTES = 64 * 1024


@frozen(kw_only=True)
class SnapshotPart:
    """A slice of a packed configuration.

    ``as_of`` is the last log offset the configuration includes, ``digest`` its digest and
    ``checksum`` the SHA-256 of all slices; slices of one ``as_of`` and ``checksum`` belong
    together, whoever wrote them.
    """

    as_of: int
    version: int
    digest: str
    checksum: bytes
    index: int
    count: int
    data: bytes


@frozen(kw_only=True)
class SnapshotNotice:
    """All parts of a snapshot were appended; ``written_at`` is the wall time in seconds."""

    snapshot_of: int
    version: int
    digest: str
    writer: str
    written_at: float
