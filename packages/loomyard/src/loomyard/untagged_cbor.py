"""Decoding of CBOR that refuses semantic tags, which no message and no record needs.

A few bytes of a tagged number can encode one of a million digits; decoding it would block a router.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, BinaryIO, NoReturn

import cbor2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class _RefusedTags(Mapping[int, "Callable[[Any, bool], Any]"]):
    """A mapping of every tag to a decoder that raises ``ValueError``."""

    def __getitem__(self, tag: int) -> Callable[[Any, bool], Any]:
        return _refuse

    def __iter__(self) -> Iterator[int]:
        return iter(())

    def __len__(self) -> int:
        return 0


def load_untagged(data: bytes) -> Any:
    """Decode one CBOR item; on tags and malformed bytes raise an exception of any type."""
    return cbor2.loads(data, semantic_decoders=_REFUSED_TAGS)


def make_untagged_decoder(stream: BinaryIO) -> cbor2.CBORDecoder:
    """Make a decoder of consecutive CBOR items in a stream, which raises on tags."""
    return cbor2.CBORDecoder(stream, semantic_decoders=_REFUSED_TAGS)


def _refuse(_: Any, __: bool) -> NoReturn:
    raise ValueError("semantic tags are refused")


_REFUSED_TAGS = _RefusedTags()
