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
    """A service; ``engine`` is ``None`` for a plain one.

    A target of it is cold for ``cold_seconds`` after its start and bears ``cold_per_second``
    requests meanwhile; 0 where nothing bounds them. Targets tell their health at ``health_path``,
    empty where they do not.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineTerms | None = None
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0
