"""Authentication of operators by bearer keys."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from loomyard_router.callers.keys import BEARER, digest_key

if TYPE_CHECKING:
    from collections.abc import Iterable


class OperatorKeys:
    """Digests of the valid keys; the keys themselves are not stored."""

    def __init__(self, digests: Iterable[str]) -> None:
        self._digests = tuple(digests)

    def accepts(self, authorization: str) -> bool:
        """Return whether an Authorization header carries a valid key, in constant time."""
        key = authorization[len(BEARER) :].strip() if authorization.startswith(BEARER) else ""
        digest = digest_key(key)
        matches = [hmac.compare_digest(digest, valid) for valid in self._digests]
        return bool(key) and any(matches)
