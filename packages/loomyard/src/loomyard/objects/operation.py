"""The operations of a plain service."""

from __future__ import annotations

from attrs import field, frozen, validators


@frozen(kw_only=True)
class Operation:
    """A method and path prefix of a plain service; idempotent calls may be retried."""

    path: str = field(validator=validators.matches_re(r"/.*"))
    method: str = "*"
    idempotent: bool = True
