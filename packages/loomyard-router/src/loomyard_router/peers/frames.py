"""Frames of a link: a batch of envelopes under a MAC and an implied sequence number."""

from __future__ import annotations

from io import BytesIO
from typing import Any

import cbor2
from attrs import define, field, frozen
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.plain_cbor import make_plain_decoder
from loomyard_router.peers.fleet_secret import MAC_BYTES, matches, tag

SEQUENCE_BYTES = 8
MAX_FRAME_BYTES = 1 << 20
# Parts of an envelope: its kind and body, and where it needs them request and answer.
LEAST_PARTS = 2
MOST_PARTS = 4
# Names of answers that are no message: nothing, and a handler that failed or is missing.
NOTHING = ""
FAILED = "!"


@frozen
class Envelope:
    """A message on its way; ``request`` and ``answers`` are 0 where it is neither.

    ``body`` is the compact form of the message that ``kind`` names.
    """

    kind: str
    body: Any
    request: int = 0
    answers: int = 0


@define(kw_only=True)
class FrameSealer:
    """Seal frames of one direction; each has the next number, which both sides count."""

    key: bytes = field(repr=False)
    sequence: int = 0

    def seal(self, envelopes: list[bytes]) -> bytes:
        """Join encoded envelopes and put the MAC before them."""
        body = b"".join(envelopes)
        mac = tag(self.key, self.sequence.to_bytes(SEQUENCE_BYTES, "big"), body)
        self.sequence += 1
        return mac + body


@define(kw_only=True)
class FrameOpener:
    """Open the frames of one direction in their order; any other order is refused."""

    key: bytes = field(repr=False)
    sequence: int = 0

    def open(self, frame: bytes) -> Result[list[tuple[Envelope, int]], Fault]:
        """Return the envelopes and their sizes."""
        mac, body = frame[:MAC_BYTES], frame[MAC_BYTES:]
        if not matches(self.key, mac, self.sequence.to_bytes(SEQUENCE_BYTES, "big"), body):
            return Err(
                Fault(
                    code=ResultCode.PEER_REFUSED,
                    detail=f"frame {self.sequence} is forged, replayed or out of order",
                )
            )
        self.sequence += 1
        return _split(body)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope, leaving off zeros at its end."""
    parts = [envelope.kind, envelope.body]
    if envelope.request or envelope.answers:
        parts.append(envelope.request)
    if envelope.answers:
        parts.append(envelope.answers)
    return cbor2.dumps(parts)


def _split(body: bytes) -> Result[list[tuple[Envelope, int]], Fault]:
    envelopes: list[tuple[Envelope, int]] = []
    stream = BytesIO(body)
    reader = make_plain_decoder(stream)
    while (start := stream.tell()) < len(body):
        try:
            data = reader.decode()
        except Exception as error:  # cbor2 raises many types on hostile bytes
            return _invalid(f"{type(error).__name__}: {error}")
        envelope = _read_envelope(data)
        if envelope is None:
            return _invalid("not an envelope")
        envelopes.append((envelope, stream.tell() - start))
    return Ok(envelopes)


def _read_envelope(data: Any) -> Envelope | None:
    """Read an envelope by hand: each message has one, and a converter takes 4 us more for it."""
    if not isinstance(data, list) or not LEAST_PARTS <= len(data) <= MOST_PARTS:
        return None
    kind, _, *numbers = data
    if not isinstance(kind, str) or any(type(number) is not int for number in numbers):
        return None
    return Envelope(*data)


def _invalid(detail: str) -> Err[Fault]:
    return Err(Fault(code=ResultCode.MESSAGE_INVALID, detail=detail))
