"""Decode and validate entries from an untrusted store, field by field."""

from __future__ import annotations

import ipaddress
import json
import math
import re
from typing import TYPE_CHECKING, Any

from attrs import NOTHING, fields

if TYPE_CHECKING:
    from collections.abc import Callable

    from attrs import Attribute

    Validator = Callable[[Any, Attribute, Any], None]
    Decoder = Callable[[Any], Any]

# Printable ASCII without spaces, since names stand in headers, paths and logs.
_NAME = re.compile(r"[\x21-\x7e]{1,256}")
MAX_PORT = 65535
MAX_ITEMS = 100_000
MAX_TEXT_CHARS = 256
DECODER = "reader"


def read_fields(kind: type, document: Any) -> Any:
    """Make an attrs instance of a class from a JSON document; a null field counts as absent.

    Errors: ``ValueError``, ``TypeError``.
    """
    if not isinstance(document, dict):
        raise TypeError(f"{kind.__name__} is {type(document).__name__}, not an object")
    values = {}
    for field in fields(kind):
        value = document.get(field.name)
        if value is not None:
            decode = field.metadata.get(DECODER)
            values[field.name] = value if decode is None else decode(value)
        elif field.default is NOTHING:
            raise ValueError(f"{kind.__name__} lacks {field.name}")
    return kind(**values)


def object_of(kind: type) -> dict[str, Decoder]:
    """Return the metadata of a field that holds a JSON object of a class."""
    return {DECODER: lambda value: read_fields(kind, value)}


def text() -> dict[str, Decoder]:
    """Return the metadata of a field of any JSON value, read as text; equal values read alike."""

    def decode(value: Any) -> str:
        is_plain = isinstance(value, str) and value.isascii()
        # JSON escapes what could not be encoded in messages between routers.
        read = value if is_plain else json.dumps(value, sort_keys=True)
        if len(read) > MAX_TEXT_CHARS:
            raise ValueError(f"a text of {len(read)} characters")
        return read

    return {DECODER: decode}


def list_of(kind: type) -> dict[str, Decoder]:
    """Return the metadata of a field that holds a list of JSON objects of a class."""

    def decode(value: Any) -> Any:
        if not isinstance(value, list) or len(value) > MAX_ITEMS:
            raise TypeError(f"not a list of {kind.__name__}, or too long")
        return tuple(read_fields(kind, item) for item in value)

    return {DECODER: decode}


def is_name(value: Any) -> bool:
    """Return whether a value is a name that may stand in a header."""
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def check_name(_: Any, field: Attribute, value: Any) -> None:
    """Validate a name: 1 to 256 printable ASCII characters without spaces."""
    if not is_name(value):
        raise ValueError(f"{field.name} is not a name: {value!r}")


def check_names(_: Any, field: Attribute, value: Any) -> None:
    """Validate a list of names."""
    if not isinstance(value, list | tuple) or not all(is_name(item) for item in value):
        raise ValueError(f"{field.name} is not a list of names")


def check_path(_: Any, field: Attribute, value: Any) -> None:
    """Validate a path or path prefix, which begins with a slash."""
    if not is_name(value) or not value.startswith("/"):
        raise ValueError(f"{field.name} is not a path: {value!r}")


def check_address(_: Any, field: Attribute, value: Any) -> None:
    """Validate ``IPv4:PORT``."""
    host, _colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"{field.name} has no valid port: {value!r}")
    ipaddress.IPv4Address(host)


def integer(min_value: int, max_value: int) -> Validator:
    """Return the validator of an integer in an inclusive range; a boolean is not one."""

    def check(_: Any, field: Attribute, value: Any) -> None:
        if type(value) is not int or not min_value <= value <= max_value:
            raise ValueError(
                f"{field.name} is not an integer from {min_value} to {max_value}: {value!r}"
            )

    return check


def number(min_value: float, max_value: float) -> Validator:
    """Return the validator of a finite integer or float in an inclusive range."""

    def check(_: Any, field: Attribute, value: Any) -> None:
        # An integer may be larger than any float.
        if type(value) not in (int, float) or (type(value) is float and not math.isfinite(value)):
            raise ValueError(f"{field.name} is not a finite number: {value!r}")
        if not min_value <= value <= max_value:
            raise ValueError(f"{field.name} is not from {min_value} to {max_value}: {value!r}")

    return check


def check_flag(_: Any, field: Attribute, value: Any) -> None:
    """Validate a boolean."""
    if type(value) is not bool:
        raise ValueError(f"{field.name} is not true or false: {value!r}")


def one_of(*choices: str) -> Validator:
    """Return the validator of a string that is one of several choices."""

    def check(_: Any, field: Attribute, value: Any) -> None:
        if not isinstance(value, str) or value not in choices:
            raise ValueError(f"{field.name} is not one of {choices}: {value!r}")

    return check
