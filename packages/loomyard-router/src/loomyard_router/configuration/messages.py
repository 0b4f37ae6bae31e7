"""Messages between routers about the configuration and their status."""

from __future__ import annotations

from attrs import field, frozen

from loomyard.configuration import EMPTY_VERSION, SnapshotPart
from loomyard.external.log_service import LogBatch
from loomyard_router.peers.message_types import peer_message

CURRENT_SNAPSHOT = b""


@peer_message("ConfigRecordsRequest")
@frozen(kw_only=True)
class RecordsRequest:
    """Request for the records from an offset on; answered by ``RecordsAnswer``."""

    offset: int


@peer_message("ConfigRecords")
@frozen(kw_only=True)
class RecordsAnswer:
    """Records of the log; ``caught_up`` is whether the sender has caught up with it once."""

    batch: LogBatch
    caught_up: bool


@peer_message("ConfigPartRequest")
@frozen(kw_only=True)
class PartRequest:
    """Request for a part of a packed state; answered by ``PartAnswer``.

    ``checksum`` identifies the packed state; ``CURRENT_SNAPSHOT`` is the current one.
    """

    checksum: bytes = CURRENT_SNAPSHOT
    index: int = 0


@peer_message("ConfigPart")
@frozen(kw_only=True)
class PartAnswer:
    """A part of a packed state, or ``None`` where the sender no longer has that state."""

    part: SnapshotPart | None = None


@peer_message("StatusRequest")
@frozen(kw_only=True)
class StatusRequest:
    """Request for the status of a router; answered by ``RouterStatus``.

    ``members`` asks for the names of the routers that it considers alive as well.
    """

    members: bool = False


@peer_message("Status")
@frozen(kw_only=True)
class RouterStatus:
    """Status of a router.

    ``version`` and ``applied`` are log offsets, ``behind`` counts the records not applied yet,
    ``digest`` is of the configuration.
    """

    name: str
    incarnation: int
    data_centre: str = ""
    version: int = EMPTY_VERSION
    applied: int = EMPTY_VERSION
    digest: str = ""
    ready: bool = False
    stopping: bool = False
    log_reachable: bool = False
    behind: int = 0
    members: list[str] = field(factory=list)
