"""Peer messages that replicate crash records."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.announced.target_incarnation import TargetLife
from loomyard_router.crashes.crash_record import CrashRecord
from loomyard_router.peers.message_types import peer_message

# Limit of names from peers and from the store.
MAX_NAME_CHARS = 128
MAX_RANK = 1 << 20


@frozen(kw_only=True)
class CrashEntry:
    """An encoded crash record; it expires after ``remaining_seconds``."""

    suspect: str
    cleared: int
    crashes: list[tuple[int, TargetLife]]
    remaining_seconds: int


@peer_message("cn")
@frozen(kw_only=True)
class CrashUpdate:
    """Crash records of the sender."""

    entries: list[CrashEntry] = field(factory=list)


@peer_message("cp")
@frozen(kw_only=True)
class PartCrashUpdate:
    """Records of parts of prompts; routers that know no such suspects drop the message."""

    entries: list[CrashEntry] = field(factory=list)


@peer_message("cq")
@frozen(kw_only=True)
class CrashQuery:
    """Requests all records unless the receiver's digest equals the sender's."""

    digest: int


def encode_record(record: CrashRecord, now: float) -> CrashEntry:
    """Encode a record for sending at clock time ``now``."""
    return CrashEntry(
        suspect=record.suspect,
        cleared=record.cleared,
        crashes=sorted(record.crashes.items()),
        # Rounded down, so that routers that exchange a record can't prolong it.
        remaining_seconds=int(record.until - now),
    )


def decode_entry(entry: CrashEntry, now: float, max_seconds: float) -> CrashRecord | None:
    """Decode a received entry; ``None`` if it is invalid or expired."""
    ranks = [rank for rank, _ in entry.crashes]
    valid = 0 < len(entry.suspect) <= MAX_NAME_CHARS and all(
        0 < rank <= MAX_RANK and len(incarnation) <= MAX_NAME_CHARS
        for rank, incarnation in entry.crashes
    )
    if not valid or not 0 <= entry.cleared <= MAX_RANK or len(set(ranks)) < len(ranks):
        return None
    if entry.remaining_seconds <= 0:
        return None
    until = now + min(float(entry.remaining_seconds), max_seconds)
    return CrashRecord(
        suspect=entry.suspect,
        until=until,
        cleared=entry.cleared,
        crashes=dict(entry.crashes),
    )
