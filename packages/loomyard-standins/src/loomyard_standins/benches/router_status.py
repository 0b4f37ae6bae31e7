"""Status of a router process of a benchmark."""

from __future__ import annotations

from attrs import field, frozen


@frozen(kw_only=True)
class RouterStatus:
    """Configuration version in force, number of live members, and counts since process start.

    ``kinds`` maps each message type to the messages and bytes sent.
    """

    version: int
    live: int
    log_appends: int
    control_bytes: int
    control_messages: int
    slots_moved: int
    kinds: dict[str, tuple[int, int]] = field(factory=dict)
