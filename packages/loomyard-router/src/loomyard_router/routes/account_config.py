"""Configuration of a client account."""

from __future__ import annotations

from attrs import field, frozen


@frozen(kw_only=True)
class AccountConfig:
    """A client account with its keys; ``priority`` is ``None`` where it has none of its own."""

    name: str
    keys: tuple[str, ...] = field(default=(), repr=False)
    priority: int | None = None
