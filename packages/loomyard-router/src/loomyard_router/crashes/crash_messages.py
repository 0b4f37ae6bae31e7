"""Messages by which routers tell each other which requests ended targets."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.announced.target_incarnation import TargetIncarnation
from loomyard_router.crashes.crash_record import CrashRecord
from loomyard_router.peers.message_types import peer_message

# Users' requests are named by 16 bytes in hex; a peer may say anything.
MOST_NAME = 128
MOST_RANK = 1 << 20


@frozen(kw_only=True)
class CrashWord:
    """A record; ``seconds`` are left of its life."""

    fingerprint: str
    cleared: int
    ends: list[tuple[int, TargetIncarnation]]
    seconds: int


@peer_message("cn")
@frozen(kw_only=True)
class CrashNews:
    """Records that the sender holds."""

    words: list[CrashWord] = field(factory=list)


@peer_message("cq")
@frozen(kw_only=True)
class CrashQuestion:
    """Ask for all records, unless the receiver knows the same as the sender by its digest."""

    digest: int


def make_word(record: CrashRecord, now: float) -> CrashWord:
    """Put a record into words."""
    return CrashWord(
        fingerprint=record.fingerprint,
        cleared=record.cleared,
        ends=sorted(record.ends.items()),
        # Whole seconds, rounded down: copies can't keep each other alive.
        seconds=int(record.until - now),
    )


def read_word(word: CrashWord, now: float, longest: float) -> CrashRecord | None:
    """Return the record of a word, ``None`` where it says nothing that can be kept."""
    ranks = [rank for rank, _ in word.ends]
    sound = 0 < len(word.fingerprint) <= MOST_NAME and all(
        0 < rank <= MOST_RANK and len(life) <= MOST_NAME for rank, life in word.ends
    )
    if not sound or not 0 <= word.cleared <= MOST_RANK or len(set(ranks)) < len(ranks):
        return None
    if word.seconds <= 0:
        return None
    until = now + min(float(word.seconds), longest)
    return CrashRecord(
        fingerprint=word.fingerprint, until=until, cleared=word.cleared, ends=dict(word.ends)
    )
