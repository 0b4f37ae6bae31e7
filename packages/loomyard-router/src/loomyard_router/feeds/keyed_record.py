"""A record of a feed."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class KeyedRecord:
    """The newest value of a key at an offset; ``None`` where the key was dropped."""

    key: str
    value: bytes | None
    offset: int
