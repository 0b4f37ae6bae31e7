"""The client account object: bearer keys, fair-share weight and queue limit."""

from __future__ import annotations

import re

from attrs import Attribute, field, frozen, validators

from loomyard.objects.metadata import Metadata

MAX_WEIGHT = 1e6
_DIGEST = re.compile(r"[0-9a-f]{64}\Z")


def _check_digest(_: object, __: Attribute, value: str) -> None:
    if not _DIGEST.match(value):
        raise ValueError("not a SHA-256 digest in 64 lower-case hexadecimal digits")


@frozen(kw_only=True)
class ClientAccount:
    """A client account; its callers authenticate with one of its bearer keys.

    ``key_digests`` are SHA-256 digests of bearer keys, ``weight`` sets the fair share of capacity
    and ``queue_limit`` the maximum of waiting requests per router and service.
    """

    metadata: Metadata
    key_digests: list[str] = field(
        factory=list, validator=validators.deep_iterable(member_validator=_check_digest)
    )
    weight: float = field(default=1.0, validator=[validators.gt(0), validators.le(MAX_WEIGHT)])
    queue_limit: int = field(default=256, validator=validators.ge(1))
