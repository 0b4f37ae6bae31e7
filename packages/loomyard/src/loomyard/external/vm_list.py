"""Protocol of the platform's VM list, which is eventually consistent."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault


class VmState(Enum):
    """The state of a VM as reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen(kw_only=True)
class Vm:
    """A VM; ``address`` is ``host:port`` of a router's peer listener, empty for VMs of targets."""

    name: str
    data_centre: str
    state: VmState = VmState.LIVE
    address: str = ""


class VmList(Protocol):
    """Client of the VM list."""

    def read(self) -> Result[list[Vm], Fault]:
        """Fetch all VMs of the list."""
