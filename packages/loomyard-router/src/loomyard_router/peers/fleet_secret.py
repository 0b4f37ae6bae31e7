"""The secret that the routers of a fleet share, and the keys derived from it."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from attrs import field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST = "sha256"
MAC_BYTES = 12
KEY_ID_BYTES = 4


@frozen
class FleetSecret:
    """One secret, or two while it is changed; the first one signs, both are accepted.

    To change it: add the new secret as second everywhere, then put it first, then drop the old.
    """

    secrets: tuple[bytes, ...] = field(repr=False)

    def __bool__(self) -> bool:
        return bool(self.secrets)

    def keys(self, purpose: bytes) -> list[bytes]:
        """Return the keys for a purpose, the signing one first."""
        return [digest(secret, purpose) for secret in self.secrets]


def make_fleet_secret(texts: Iterable[str]) -> FleetSecret:
    """Make the secret from the settings."""
    return FleetSecret(tuple(text.encode() for text in texts if text))


def digest(key: bytes, *parts: bytes) -> bytes:
    """Return an HMAC over parts, each with its length so that none can shift into another."""
    sized = [piece for part in parts for piece in (len(part).to_bytes(4, "big"), part)]
    return hmac.digest(key, b"".join(sized), DIGEST)


def tag(key: bytes, *parts: bytes) -> bytes:
    """Return the truncated HMAC that goes with a message."""
    return digest(key, *parts)[:MAC_BYTES]


def matches(key: bytes, mac: bytes, *parts: bytes) -> bool:
    """Compare a truncated HMAC in constant time."""
    return hmac.compare_digest(mac, tag(key, *parts))
