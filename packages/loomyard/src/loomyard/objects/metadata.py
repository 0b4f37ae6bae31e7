"""The metadata of every configuration object: name and labels."""

from __future__ import annotations

import re

from attrs import Attribute, field, frozen

MAX_NAME_LENGTH = 128
_NAME = re.compile(r"[a-z0-9]([a-z0-9._-]*[a-z0-9])?\Z")


def _check_name(_: object, __: Attribute, value: str) -> None:
    if len(value) > MAX_NAME_LENGTH or not _NAME.match(value):
        raise ValueError(f"not a name in lower case, digits, '.', '_' or '-': {value!r}")


@frozen(kw_only=True)
class Metadata:
    """The name of an object, unique within its kind, and its labels."""

    name: str = field(validator=_check_name)
    labels: dict[str, str] = field(factory=dict)
