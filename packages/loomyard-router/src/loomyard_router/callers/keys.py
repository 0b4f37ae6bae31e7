"""Bearer keys of client accounts."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.objects import ClientAccount
    from loomyard.routing import Routing

BEARER = "Bearer "


def digest_key(key: str) -> str:
    """Return the digest under which a key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(routing: Routing, authorization: str) -> ClientAccount | None:
    """Return the account whose key stands in an Authorization header."""
    if not authorization.startswith(BEARER):
        return None
    digest = digest_key(authorization[len(BEARER) :].strip())
    account = routing.find_account(digest)
    if account is None:
        return None
    known = [hmac.compare_digest(digest, kept) for kept in account.key_digests]
    return account if any(known) else None
