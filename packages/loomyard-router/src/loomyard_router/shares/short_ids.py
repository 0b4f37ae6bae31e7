"""Short identifiers for names in messages between routers."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2s

SHORT_ID_BYTES = 5
CACHED_NAMES = 65_536


@lru_cache(maxsize=CACHED_NAMES)
def short_id(name: str) -> bytes:
    """Return the identifier of a name, a hash of ``SHORT_ID_BYTES`` bytes.

    Among 31,000 accounts, the probability of any collision is 1 in 2,300.
    """
    return blake2s(name.encode(), digest_size=SHORT_ID_BYTES).digest()
