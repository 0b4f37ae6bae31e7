"""What the configuration says of a service."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class EngineTerms:
    """The size of each engine of a service: requests at once, and tokens in memory."""

    slots: int
    memory_tokens: int = 0


@frozen(kw_only=True)
class ServiceTerms:
    """A service; ``engine`` is ``None`` for a plain one."""

    name: str
    max_connections: int = 0
    engine: EngineTerms | None = None
