"""Read references of objects from arguments."""

from __future__ import annotations

from argparse import ArgumentTypeError

from loomyard.objects import KINDS, ObjectRef

_KINDS_BY_WORD = {kind.lower(): kind for kind in KINDS}


def read_kind(text: str) -> str:
    """Return a kind whatever its case and also in the plural."""
    word = text.lower()
    kind = _KINDS_BY_WORD.get(word) or _KINDS_BY_WORD.get(word.removesuffix("s"))
    if kind is None:
        raise ArgumentTypeError(f"{text!r} is not one of {', '.join(KINDS)}")
    return kind


def read_ref(text: str) -> ObjectRef:
    """Return the reference of ``KIND/NAME``."""
    kind, slash, name = text.partition("/")
    if not slash or not name:
        raise ArgumentTypeError(f"{text!r} is not KIND/NAME")
    return ObjectRef(read_kind(kind), name)
