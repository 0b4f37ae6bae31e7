"""Configuration of a service and its engines."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class EngineConfig:
    """Capacity of each engine of a service: concurrent requests, and tokens in its KV cache."""

    slots: int
    memory_tokens: int = 0


@frozen(kw_only=True)
class ServiceConfig:
    """A service; ``engine`` is ``None`` for a plain service.

    For ``cold_seconds`` after its start a target is cold and gets at most ``cold_per_second``
    requests a second, 0 for no limit. ``health_path`` is the path of the targets' health check,
    empty where they have none.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineConfig | None = None
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0
