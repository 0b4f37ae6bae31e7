"""A target: one model engine or plain server."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen, validators

from loomyard.objects.metadata import Metadata


class TargetState(Enum):
    """Whether a target may get new work."""

    ACTIVE = "active"
    LEAVING = "leaving"


@frozen(kw_only=True)
class Target:
    """A target that serves one or more services.

    ``services`` are loaded from the start; ``loadable`` are further ones that it may be ordered
    to load, which may unload the others. Without ``loadable`` a target gets no orders.
    ``slots`` bounds the requests in flight; ``checks_fencing`` says whether the target refuses
    an order with an old fencing number; ``vm`` is the name of its VM in the VM list.
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
