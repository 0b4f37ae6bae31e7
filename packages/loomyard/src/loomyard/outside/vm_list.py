"""The platform's list of VMs, which lags."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault


class VmState(Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen(kw_only=True)
class Vm:
    """A VM of the list; ``address`` is ``host:port`` of its peer listener, empty for targets."""

    name: str
    data_centre: str
    state: VmState = VmState.LIVE
    address: str = ""


class VmList(Protocol):
    """Read the list."""

    def read(self) -> Result[list[Vm], Fault]:
        """Return the VMs."""
