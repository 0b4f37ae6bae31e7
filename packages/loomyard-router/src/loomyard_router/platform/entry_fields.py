"""Checks of single fields of entries that anybody may have written."""

from __future__ import annotations

import ipaddress
import math
import re
from typing import TYPE_CHECKING, Any

from attrs import NOTHING, fields

if TYPE_CHECKING:
    from collections.abc import Callable

    from attrs import Attribute

    Check = Callable[[Any, Attribute, Any], None]
    Reader = Callable[[Any], Any]

# What names are made of: they stand in headers, paths and logs.
_NAME = re.compile(r"[\x21-\x7e]{1,256}")
MOST_PORT = 65535
MOST_ITEMS = 100_000
READER = "reader"


def read_fields(kind: type, document: Any) -> Any:
    """Make an entry of a kind from a document; a field that is null counts as left out.

    Errors: ``ValueError``, ``TypeError``.
    """
    if not isinstance(document, dict):
        raise TypeError(f"{kind.__name__} is {type(document).__name__}, not a table")
    given = {}
    for field in fields(kind):
        value = document.get(field.name)
        if value is not None:
            read = field.metadata.get(READER)
            given[field.name] = value if read is None else read(value)
        elif field.default is NOTHING:
            raise ValueError(f"{kind.__name__} lacks {field.name}")
    return kind(**given)


def table_of(kind: type) -> dict[str, Reader]:
    """Return the metadata of a field that holds a table."""
    return {READER: lambda value: read_fields(kind, value)}


def list_of(kind: type) -> dict[str, Reader]:
    """Return the metadata of a field that holds a list of tables."""

    def read(value: Any) -> Any:
        if not isinstance(value, list) or len(value) > MOST_ITEMS:
            raise TypeError(f"no list of {kind.__name__}")
        return tuple(read_fields(kind, one) for one in value)

    return {READER: read}


def is_name(value: Any) -> bool:
    """Tell whether a value is a name that may stand in a header."""
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def check_name(_: Any, field: Attribute, value: Any) -> None:
    """Check a name."""
    if not is_name(value):
        raise ValueError(f"{field.name} is no name: {value!r}")


def check_names(_: Any, field: Attribute, value: Any) -> None:
    """Check a list of names."""
    if not isinstance(value, list | tuple) or not all(is_name(one) for one in value):
        raise ValueError(f"{field.name} are no names")


def check_path(_: Any, field: Attribute, value: Any) -> None:
    """Check the beginning of a path."""
    if not is_name(value) or not value.startswith("/"):
        raise ValueError(f"{field.name} is no path: {value!r}")


def check_address(_: Any, field: Attribute, value: Any) -> None:
    """Check ``IP:PORT``."""
    host, _colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) <= MOST_PORT):
        raise ValueError(f"{field.name} has no port: {value!r}")
    ipaddress.IPv4Address(host)


def whole(least: int, most: int) -> Check:
    """Return the check of a whole number in a range."""

    def check(_: Any, field: Attribute, value: Any) -> None:
        if type(value) is not int or not least <= value <= most:
            raise ValueError(f"{field.name} is not from {least} to {most}: {value!r}")

    return check


def number(least: float, most: float) -> Check:
    """Return the check of a number in a range, whole or not."""

    def check(_: Any, field: Attribute, value: Any) -> None:
        if type(value) not in (int, float) or not math.isfinite(value):
            raise ValueError(f"{field.name} is no number: {value!r}")
        if not least <= value <= most:
            raise ValueError(f"{field.name} is not from {least} to {most}: {value!r}")

    return check


def check_flag(_: Any, field: Attribute, value: Any) -> None:
    """Check true or false."""
    if type(value) is not bool:
        raise ValueError(f"{field.name} is not true or false: {value!r}")


def one_of(*words: str) -> Check:
    """Return the check of a word of a list."""

    def check(_: Any, field: Attribute, value: Any) -> None:
        if not isinstance(value, str) or value not in words:
            raise ValueError(f"{field.name} is none of {words}: {value!r}")

    return check
