"""What the configuration says of a client account."""

from __future__ import annotations

from attrs import field, frozen


@frozen(kw_only=True)
class AccountTerms:
    """A client account, its keys, and its priority where it has one of its own."""

    name: str
    keys: tuple[str, ...] = field(default=(), repr=False)
    priority: int | None = None
