"""The log records of a snapshot: its parts and the notice that all were appended."""

from __future__ import annotations

from attrs import frozen

PART_BYTES = 64 * 1024


@frozen(kw_only=True)
class SnapshotPart:
    """A slice of a packed configuration.

    ``as_of`` is the last log offset that the configuration includes, ``digest`` its digest and
    ``checksum`` the SHA-256 of all slices. Slices with equal ``as_of``, ``checksum`` and ``count``
    form one snapshot, even if different routers wrote them.
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
    """A record that all parts of a snapshot were appended.

    ``snapshot_of`` is the last log offset included, ``written_at`` the wall time in seconds.
    """

    snapshot_of: int
    version: int
    digest: str
    writer: str
    written_at: float
