"""The target object: one model engine or plain server."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen, validators

from loomyard.objects.metadata import Metadata


class TargetState(Enum):
    """Whether a target may get new requests."""

    ACTIVE = "active"
    LEAVING = "leaving"


@frozen(kw_only=True)
class Target:
    """A target that serves one or more services.

    ``services`` are loaded at its start; it can be ordered to load those of ``loadable``, which may
    unload others. A target without ``loadable`` gets no orders. ``slots`` limits the requests in
    flight; ``checks_fencing`` states that the target refuses orders with an outdated fencing
    number; ``vm`` is the name of its VM in the VM list.
    """

    metadata: Metadata
    url: str = field(validator=validators.matches_re(r"https?://[^/\s]+(/\S*)?"))
    services: list[str] = field(validator=validators.min_len(1))
    loadable: list[str] = field(factory=list)
    slots: int = field(default=8, validator=[validators.ge(1), validators.le(4096)])
    data_centre: str = ""
    vm: str = ""
    state: TargetState = TargetState.ACTIVE
    checks_fencing: bool = False
