"""Authentication of client accounts by bearer keys."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.objects import ClientAccount
    from loomyard.routing import Routing

BEARER = "Bearer "


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a key in hexadecimal, the form in which keys are stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(routing: Routing, authorization: str) -> ClientAccount | None:
    """Return the account whose key is in an Authorization header, ``None`` without a known key."""
    if not authorization.startswith(BEARER):
        return None
    digest = digest_key(authorization[len(BEARER) :].strip())
    account = routing.find_account(digest)
    if account is None:
        return None
    matches = [hmac.compare_digest(digest, stored) for stored in account.key_digests]
    return account if any(matches) else None
