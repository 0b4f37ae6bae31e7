"""A VM list that lags."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode

if TYPE_CHECKING:
    from loomyard.platform.vm_list import Vm


class MemoryVmList:
    """The VMs as set; ``published`` lags until ``publish`` is called."""

    def __init__(self) -> None:
        self.vms: list[Vm] = []
        self.down = False
        self._published: list[Vm] = []

    def publish(self) -> None:
        """Let readers see the VMs as they are now."""
        self._published = list(self.vms)

    def read(self) -> Result[list[Vm], Fault]:
        if self.down:
            return Err(Fault(code=ResultCode.LOG_UNAVAILABLE, detail="the VM list is down"))
        return Ok(list(self._published))
