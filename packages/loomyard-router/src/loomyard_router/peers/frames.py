"""Frames of a link: a batch of envelopes under a MAC and an implied sequence number."""

from __future__ import annotations

from io import BytesIO
from typing import Any

import cbor2
from attrs import define, field, frozen
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.untagged_cbor import make_untagged_decoder
from loomyard_router.peers.fleet_secret import MAC_BYTES, is_valid_mac, truncated_hmac

SEQUENCE_BYTES = 8
MAX_FRAME_BYTES = 1 << 20
# Fields of an encoded envelope: kind and body, then request and answers where they are not 0.
MIN_FIELDS = 2
MAX_FIELDS = 4
# Kinds of answers without a message: an empty one, and that of a handler that failed.
EMPTY_ANSWER = ""
FAILED_ANSWER = "!"


@frozen
class Envelope:
    """A message with its type name ``kind`` and its compact form ``body``.

    ``request`` is the number of a request, ``answers`` that of the request which this message
    answers; each is 0 where it does not apply.
    """

    kind: str
    body: Any
    request: int = 0
    answers: int = 0


@define(kw_only=True)
class FrameSealer:
    """Authenticate the frames of one direction; both sides count their sequence numbers."""

    key: bytes = field(repr=False)
    sequence: int = 0

    def seal(self, envelopes: list[bytes]) -> bytes:
        """Join encoded envelopes and prefix them with the MAC."""
        body = b"".join(envelopes)
        mac = truncated_hmac(self.key, self.sequence.to_bytes(SEQUENCE_BYTES, "big"), body)
        self.sequence += 1
        return mac + body


@define(kw_only=True)
class FrameOpener:
    """Verify the frames of one direction, which have to come in order."""

    key: bytes = field(repr=False)
    sequence: int = 0

    def open(self, frame: bytes) -> Result[list[tuple[Envelope, int]], Fault]:
        """Return the envelopes of a frame, each with its size in bytes."""
        mac, body = frame[:MAC_BYTES], frame[MAC_BYTES:]
        if not is_valid_mac(self.key, mac, self.sequence.to_bytes(SEQUENCE_BYTES, "big"), body):
            return Err(
                Fault(
                    code=ResultCode.PEER_REFUSED,
                    detail=f"frame {self.sequence} is forged, replayed or out of order",
                )
            )
        self.sequence += 1
        return _decode_envelopes(body)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope; trailing zeros are left out."""
    parts = [envelope.kind, envelope.body]
    if envelope.request or envelope.answers:
        parts.append(envelope.request)
    if envelope.answers:
        parts.append(envelope.answers)
    return cbor2.dumps(parts)


def _decode_envelopes(body: bytes) -> Result[list[tuple[Envelope, int]], Fault]:
    envelopes: list[tuple[Envelope, int]] = []
    stream = BytesIO(body)
    reader = make_untagged_decoder(stream)
    while (start := stream.tell()) < len(body):
        try:
            data = reader.decode()
        except Exception as error:  # cbor2 raises many types on hostile bytes
            return _invalid(f"{type(error).__name__}: {error}")
        envelope = _make_envelope(data)
        if envelope is None:
            return _invalid("malformed envelope")
        envelopes.append((envelope, stream.tell() - start))
    return Ok(envelopes)


def _make_envelope(data: Any) -> Envelope | None:
    """Decode an envelope without the converter, which would take 4 us more for each message."""
    if not isinstance(data, list) or not MIN_FIELDS <= len(data) <= MAX_FIELDS:
        return None
    kind, _, *numbers = data
    if not isinstance(kind, str) or any(type(number) is not int for number in numbers):
        return None
    return Envelope(*data)


def _invalid(detail: str) -> Err[Fault]:
    return Err(Fault(code=ResultCode.MESSAGE_INVALID, detail=detail))
