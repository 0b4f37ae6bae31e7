"""JSON documents of the operators' interface."""

from __future__ import annotations

from attrs import field, frozen

from loomyard.configuration import ABSENT, Deletion, Put
from loomyard.objects import ConfigObject
from loomyard_router.configuration.messages import RouterStatus
from loomyard_router.targets.target_status import TargetStatus


@frozen(kw_only=True)
class ChangeRequest:
    """Request for a change; waits up to ``wait_seconds`` until it is in force on all routers."""

    change_id: str = ""
    author: str = ""
    puts: list[Put] = field(factory=list)
    deletions: list[Deletion] = field(factory=list)
    wait_seconds: float = 5.0


@frozen(kw_only=True)
class RestoreRequest:
    """Request to restore a lost configuration from all its objects."""

    objects: list[ConfigObject]


@frozen(kw_only=True)
class RouterIssue:
    """A router that does not answer or on which a change is not in force; ``detail`` says which."""

    name: str
    detail: str


@frozen(kw_only=True)
class ChangeOutcome:
    """Verdict on a change, and the routers on which it is in force or not yet."""

    change_id: str
    offset: int
    verdict: str
    detail: str = ""
    in_force: list[str] = field(factory=list)
    lagging: list[RouterIssue] = field(factory=list)


@frozen(kw_only=True)
class ObjectEntry:
    """An object and the version of its last change."""

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
    """Outcome of the request to drain a router."""

    name: str
    detail: str


@frozen(kw_only=True)
class FleetReport:
    """Status of all routers that the answering router considers alive."""

    answered_by: str
    routers: list[RouterStatus] = field(factory=list)
    silent: list[RouterIssue] = field(factory=list)


@frozen(kw_only=True)
class TargetReport:
    """Status of the targets as seen by the answering router."""

    answered_by: str
    targets: list[TargetStatus] = field(factory=list)
