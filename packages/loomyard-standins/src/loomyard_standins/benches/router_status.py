"""What a router process of a bench tells of itself."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class RouterStatus:
    """Configuration version in force, and counts since the start of the process."""

    version: int
    cpu_seconds: float
    log_appends: int
    control_bytes: int = 0
    control_messages: int = 0
    slots_moved: int = 0
