"""The state of a target at one router, as operators see it."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen


class TargetStanding(Enum):
    """Whether a target gets new requests, and the first reason why not."""

    SERVING = "serving"
    LEAVING_CONFIGURED = "leaving by configuration"
    LEAVING_ANNOUNCED = "leaving by its own word"
    LEAVING_VM = "leaving by the VM list"
    BACKING_OFF = "resting by its own wish"
    EJECTED = "ejected after failed attempts"
    PROBING = "half-open after failed attempts"


@frozen(kw_only=True)
class TargetStatus:
    """A target at one router; ``slots`` is the estimate, ``loaded`` the services loaded now."""

    name: str
    standing: TargetStanding
    slots: int
    configured_slots: int
    loaded: list[str] = field(factory=list)
