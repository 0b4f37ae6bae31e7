"""The message types between routers, by their short names on the wire."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

M = TypeVar("M", bound=type)

_KINDS: dict[str, type] = {}
_NAMES: dict[type, str] = {}


def peer_message(name: str) -> Callable[[M], M]:
    """Register an attrs class for messages or answers under a short name."""

    def register(kind: M) -> M:
        register_message(kind, name)
        return kind

    return register


def register_message(kind: type, name: str = "") -> None:
    """Register an attrs class, under its class name where no other is given."""
    if kind in _NAMES:
        return
    name = name or kind.__name__
    if name in _KINDS:
        raise ValueError(f"two message types are named {name!r}")
    _KINDS[name] = kind
    _NAMES[kind] = name


def name_of(kind: type) -> str:
    """Return the name of a message type; raise ``KeyError`` where it is not registered."""
    return _NAMES[kind]


def kind_of(name: str) -> type | None:
    """Return the message type of a name."""
    return _KINDS.get(name)
