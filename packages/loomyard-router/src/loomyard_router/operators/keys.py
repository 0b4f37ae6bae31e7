"""Bearer keys of operators."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from loomyard_router.callers.keys import BEARER, digest_key

if TYPE_CHECKING:
    from collections.abc import Iterable


class OperatorKeys:
    """The digests of the keys; the keys themselves are kept nowhere."""

    def __init__(self, digests: Iterable[str]) -> None:
        self._digests = tuple(digests)

    def accepts(self, authorization: str) -> bool:
        """Tell whether an Authorization header carries a valid key, in constant time."""
        key = authorization[len(BEARER) :].strip() if authorization.startswith(BEARER) else ""
        digest = digest_key(key)
        known = [hmac.compare_digest(digest, kept) for kept in self._digests]
        return bool(key) and any(known)
