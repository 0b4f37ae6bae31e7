"""Peer messages that replicate and look up the origins of streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field, frozen

from loomyard_router.peers.message_types import peer_message
from loomyard_router.streams.origin_record import OriginRecord
from loomyard_router.streams.stream_origin import StreamOrigin

if TYPE_CHECKING:
    from loomyard_router.members.membership import Member

# Limit of names from peers.
MAX_NAME_CHARS = 256
MAX_SECONDS = 3600


@frozen(kw_only=True)
class OriginEntry:
    """An encoded record; it expires after ``remaining_seconds``."""

    attempt_id: str
    service: str
    software_version: str
    remaining_seconds: int


@peer_message("ou")
@frozen(kw_only=True)
class OriginUpdate:
    """Records that the receiver hosts."""

    entries: list[OriginEntry] = field(factory=list)


@peer_message("oq")
@frozen(kw_only=True)
class OriginQuery:
    """Request for the record of a stream on a route; answered by ``OriginReply``."""

    attempt_id: str
    route: str


@peer_message("oa")
@frozen(kw_only=True)
class OriginReply:
    """The record, or the pairs of service and version that streams of the route may have.

    The sender knows all of those that there were in the last ``observed_seconds``.
    """

    entry: OriginEntry | None = None
    possible: list[tuple[str, str]] = field(factory=list)
    observed_seconds: int = 0


@peer_message("og")
@frozen(kw_only=True)
class PastOriginsQuery:
    """Request for what the receiver has observed; answered by ``PastOrigins``."""


@peer_message("ob")
@frozen(kw_only=True)
class PastOrigins:
    """Services of routes and versions of services, each with the seconds since it was last there.

    The sender knows all of those that there were in the last ``observed_seconds``.
    """

    observed_seconds: int = 0
    services: list[tuple[str, str, int]] = field(factory=list)
    versions: list[tuple[str, str, int]] = field(factory=list)


def encode_record(record: OriginRecord, now: float) -> OriginEntry:
    """Encode a record for sending at clock time ``now``."""
    return OriginEntry(
        attempt_id=record.attempt_id,
        service=record.origin.service,
        software_version=record.origin.software_version,
        remaining_seconds=int(record.until - now),
    )


def decode_entry(entry: OriginEntry, now: float, sender: Member) -> OriginRecord | None:
    """Decode an entry of a sender; ``None`` if it is invalid or expired."""
    names = (entry.attempt_id, entry.service, entry.software_version)
    if not entry.attempt_id or any(len(name) > MAX_NAME_CHARS for name in names):
        return None
    if not 0 < entry.remaining_seconds <= MAX_SECONDS:
        return None
    return OriginRecord(
        attempt_id=entry.attempt_id,
        origin=make_origin(entry),
        router=sender.name,
        incarnation=sender.incarnation,
        until=now + entry.remaining_seconds,
    )


def make_origin(entry: OriginEntry) -> StreamOrigin:
    """Return the origin that an entry states."""
    return StreamOrigin(service=entry.service, software_version=entry.software_version)
