"""The JSON documents of the operators' interface."""

from __future__ import annotations

from attrs import field, frozen

from loomyard.configuration import ABSENT, Deletion, Put
from loomyard.objects import ConfigObject
from loomyard_router.configuration.messages import RouterStatus
from loomyard_router.targets.target_status import TargetStatus


@frozen(kw_only=True)
class ChangeRequest:
    """Ask for a change; ``wait_seconds`` is how long to wait for all routers."""

    change_id: str = ""
    author: str = ""
    puts: list[Put] = field(factory=list)
    deletions: list[Deletion] = field(factory=list)
    wait_seconds: float = 5.0


@frozen(kw_only=True)
class RestoreRequest:
    """Ask for a new start from all objects."""

    objects: list[ConfigObject]


@frozen(kw_only=True)
class Laggard:
    """A router on which a change is not known to be in force."""

    name: str
    detail: str


@frozen(kw_only=True)
class ChangeOutcome:
    """What a change came to."""

    change_id: str
    offset: int
    verdict: str
    detail: str = ""
    in_force: list[str] = field(factory=list)
    lagging: list[Laggard] = field(factory=list)


@frozen(kw_only=True)
class ObjectEntry:
    """An object and its version."""

    object: ConfigObject
    version: int = ABSENT


@frozen
class ObjectList:
    """Objects of one configuration version."""

    version: int
    applied: int
    objects: list[ObjectEntry] = field(factory=list)


@frozen(kw_only=True)
class DrainOutcome:
    """What a drain came to."""

    name: str
    detail: str


@frozen(kw_only=True)
class FleetReport:
    """How the routers are, as the one asked sees it."""

    answered_by: str
    routers: list[RouterStatus] = field(factory=list)
    silent: list[Laggard] = field(factory=list)


@frozen(kw_only=True)
class TargetReport:
    """How the targets stand in the eyes of the router asked."""

    answered_by: str
    targets: list[TargetStatus] = field(factory=list)
