"""The secret shared by the routers of a fleet, and the keys derived from it."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from attrs import field, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

HASH_NAME = "sha256"
MAC_BYTES = 12
KEY_ID_BYTES = 4


@frozen
class FleetSecret:
    """One secret, or two during a rotation; the first one signs, all are accepted.

    To rotate: add the new secret as second everywhere, then put it first, then remove the old.
    """

    secrets: tuple[bytes, ...] = field(repr=False)

    def __bool__(self) -> bool:
        return bool(self.secrets)

    def keys(self, purpose: bytes) -> list[bytes]:
        """Derive the keys for a purpose, the signing key first."""
        return [hmac_digest(secret, purpose) for secret in self.secrets]


def make_fleet_secret(texts: Iterable[str]) -> FleetSecret:
    """Make the secret from the settings."""
    return FleetSecret(tuple(text.encode() for text in texts if text))


def hmac_digest(key: bytes, *parts: bytes) -> bytes:
    """Return an HMAC over length-prefixed parts, so that their boundaries are authenticated too."""
    sized = [piece for part in parts for piece in (len(part).to_bytes(4, "big"), part)]
    return hmac.digest(key, b"".join(sized), HASH_NAME)


def truncated_hmac(key: bytes, *parts: bytes) -> bytes:
    """Return the HMAC over parts, truncated to ``MAC_BYTES``."""
    return hmac_digest(key, *parts)[:MAC_BYTES]


def is_valid_mac(key: bytes, mac: bytes, *parts: bytes) -> bool:
    """Compare a truncated HMAC in constant time."""
    return hmac.compare_digest(mac, truncated_hmac(key, *parts))
