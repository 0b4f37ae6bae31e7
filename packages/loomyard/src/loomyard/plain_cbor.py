"""Reading of CBOR without semantic tags, which no message and no record needs.

A short tagged number can stand for one of a million digits, and working that out stops a router.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, BinaryIO, NoReturn

import cbor2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class _RefusedTags(Mapping[int, "Callable[[Any, bool], Any]"]):
    """The decoders of semantic tags: for each tag there is, one that refuses it."""

    def __getitem__(self, tag: int) -> Callable[[Any, bool], Any]:
        return _refuse

    def __iter__(self) -> Iterator[int]:
        return iter(())

    def __len__(self) -> int:
        return 0


def load_plain(data: bytes) -> Any:
    """Decode one item; raise an error of any type on hostile bytes and on tags."""
    return cbor2.loads(data, semantic_decoders=_REFUSED_TAGS)


def make_plain_decoder(stream: BinaryIO) -> cbor2.CBORDecoder:
    """Make a decoder of one item after the other that raises on tags."""
    return cbor2.CBORDecoder(stream, semantic_decoders=_REFUSED_TAGS)


def _refuse(_: Any, __: bool) -> NoReturn:
    raise ValueError("semantic tags are refused")


_REFUSED_TAGS = _RefusedTags()
