"""Parsing of kinds and object references in arguments."""

from __future__ import annotations

from argparse import ArgumentTypeError

from loomyard.objects import KINDS, ObjectRef

_KINDS_BY_LOWER_NAME = {kind.lower(): kind for kind in KINDS}


def parse_kind(text: str) -> str:
    """Parse a kind in any case, singular or plural; raise ``ArgumentTypeError`` for others."""
    lower = text.lower()
    kind = _KINDS_BY_LOWER_NAME.get(lower) or _KINDS_BY_LOWER_NAME.get(lower.removesuffix("s"))
    if kind is None:
        raise ArgumentTypeError(f"{text!r} is not one of {', '.join(KINDS)}")
    return kind


def parse_ref(text: str) -> ObjectRef:
    """Parse ``KIND/NAME``; raise ``ArgumentTypeError`` for other text."""
    kind, slash, name = text.partition("/")
    if not slash or not name:
        raise ArgumentTypeError(f"{text!r} is not KIND/NAME")
    return ObjectRef(parse_kind(kind), name)
