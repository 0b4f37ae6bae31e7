"""What a router process of a bench tells of itself."""

from __future__ import annotations

from attrs import field, frozen


@frozen(kw_only=True)
class RouterStatus:
    """Configuration version in force, live members, and counts since the process started.

    ``kinds`` gives messages and bytes sent by message type.
    """

    version: int
    live: int
    log_appends: int
    control_bytes: int
    control_messages: int
    slots_moved: int
    kinds: dict[str, tuple[int, int]] = field(factory=dict)
