"""Messages about the configuration between routers."""

from __future__ import annotations

from attrs import field, frozen

from loomyard.configuration import EMPTY_VERSION, SnapshotPart
from loomyard.outside.log_service import LogBatch
from loomyard_router.peers.message_types import peer_message

ANY_SNAPSHOT = b""


@peer_message("ConfigRecordsRequest")
@frozen(kw_only=True)
class RecordsRequest:
    """Ask for the records from an offset on; answered by ``RecordsAnswer``."""

    offset: int


@peer_message("ConfigRecords")
@frozen(kw_only=True)
class RecordsAnswer:
    """Records as the log has them; ``caught_up`` says whether the sender was up to date."""

    batch: LogBatch
    caught_up: bool


@peer_message("ConfigPartRequest")
@frozen(kw_only=True)
class PartRequest:
    """Ask for a part of a packed state; answered by ``PartAnswer``.

    ``checksum`` names the packed state; ``ANY_SNAPSHOT`` asks for the present one.
    """

    checksum: bytes = ANY_SNAPSHOT
    index: int = 0


@peer_message("ConfigPart")
@frozen(kw_only=True)
class PartAnswer:
    """A part, or none where the named state is no longer kept."""

    part: SnapshotPart | None = None


@peer_message("StatusRequest")
@frozen(kw_only=True)
class StatusRequest:
    """Ask how a router is, and whom it takes for alive; answered by ``RouterStatus``."""

    members: bool = False


@peer_message("Status")
@frozen(kw_only=True)
class RouterStatus:
    """How a router is; versions are log offsets, ``digest`` is of the configuration."""

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
