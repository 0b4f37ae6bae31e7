"""Encoding of a configuration state into snapshot parts, and decoding."""

from __future__ import annotations

import hashlib
import io
import zlib
from typing import TYPE_CHECKING, Any

import cbor2
import gevent
from cattrs import BaseValidationError
from result import Err, Ok, Result

from loomyard.codec import CODEC
from loomyard.configuration.digest import format_digest
from loomyard.configuration.snapshot import PART_BYTES, SnapshotNotice, SnapshotPart
from loomyard.configuration.state import ConfigState, VersionedObject, make_state
from loomyard.objects import ConfigObject
from loomyard.untagged_cbor import make_untagged_decoder
from loomyard.util.collector import paused_collector
from loomyard.validation_errors import error_lines

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

BATCH_OBJECTS = 50
COMPRESSION_LEVEL = 6
MAX_UNPACKED_BYTES = 256 * 1024 * 1024
_OBJECT_KIND: Any = ConfigObject  # Any, because type checkers do not accept a union as a type


def pack(state: ConfigState, *, part_bytes: int = PART_BYTES) -> tuple[SnapshotPart, ...]:
    """Encode, compress and split a state; yields to other tasks after each batch of objects."""
    data = _compress(state)
    checksum = hashlib.sha256(data).digest()
    slices = [data[start : start + part_bytes] for start in range(0, len(data), part_bytes)]
    return tuple(
        SnapshotPart(
            as_of=state.applied,
            version=state.version,
            digest=format_digest(state.digest),
            checksum=checksum,
            index=index,
            count=len(slices),
            data=part,
        )
        for index, part in enumerate(slices)
    )


def make_notice(state: ConfigState, *, writer: str, written_at: float) -> SnapshotNotice:
    """Make the record which states that all parts of a snapshot were appended."""
    return SnapshotNotice(
        snapshot_of=state.applied,
        version=state.version,
        digest=format_digest(state.digest),
        writer=writer,
        written_at=written_at,
    )


def unpack(parts: Sequence[SnapshotPart]) -> Result[ConfigState, str]:
    """Decode a state from all parts of one snapshot in order; yields to other tasks."""
    first = parts[0]
    data = b"".join(part.data for part in parts)
    if hashlib.sha256(data).digest() != first.checksum:
        return Err("the checksum differs")
    try:
        with paused_collector():
            state = make_state(_decompress(data), version=first.version, applied=first.as_of)
    except BaseValidationError as error:
        return Err("; ".join(error_lines(error)))
    except Exception as error:  # zlib, cbor2 and hooks raise many types on hostile bytes
        return Err(f"{type(error).__name__}: {error}")
    if format_digest(state.digest) != first.digest:
        return Err("the digest differs")
    return Ok(state)


def _compress(state: ConfigState) -> bytes:
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    data = bytearray()
    for batch in _batches(state):
        fields = [[item.version, _to_plain_data(item.object)] for item in batch]
        data += compressor.compress(cbor2.dumps(fields))
        gevent.sleep(0)
    return bytes(data + compressor.flush())


def _batches(state: ConfigState) -> Iterator[list[VersionedObject]]:
    items = list(state.objects.values())
    for start in range(0, max(1, len(items)), BATCH_OBJECTS):
        yield items[start : start + BATCH_OBJECTS]


def _to_plain_data(item: ConfigObject) -> object:
    return CODEC.unstructure(item, unstructure_as=ConfigObject)


def _decompress(data: bytes) -> Iterator[VersionedObject]:
    unpacked = zlib.decompressobj().decompress(data, MAX_UNPACKED_BYTES)
    stream = io.BytesIO(unpacked)
    decoder = make_untagged_decoder(stream)
    while stream.tell() < len(unpacked):
        for version, fields in decoder.decode():
            yield VersionedObject(CODEC.structure(fields, _OBJECT_KIND), version)
        gevent.sleep(0)
