"""VM list that can lag behind the VMs, in memory and over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from loomyard.codec import CODEC
from loomyard.errors import Fault, ResultCode
from loomyard.external.vm_list import Vm
from loomyard_standins.served_standin import LOOPBACK, ServedStandin

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class MemoryVmList:
    """VM list whose readers see changes of ``vms`` only after ``publish``; ``down`` fails reads."""

    def __init__(self) -> None:
        self.vms: list[Vm] = []
        self.down = False
        self._published: list[Vm] = []

    def publish(self) -> None:
        """Make the current VMs visible to readers."""
        self._published = list(self.vms)

    def read(self) -> Result[list[Vm], Fault]:
        if self.down:
            return Err(Fault(code=ResultCode.VM_LIST_UNAVAILABLE, detail="the VM list is down"))
        return Ok(list(self._published))


class VmListServer(ServedStandin):
    """HTTP server for a ``MemoryVmList``."""

    def __init__(self, vm_list: MemoryVmList, listen: tuple[str, int] = LOOPBACK) -> None:
        self.vm_list = vm_list
        super().__init__(listen, self._serve)

    def _serve(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        match self.vm_list.read():
            case Ok(vms):
                start_response("200 OK", [("Content-Type", "application/json")])
                return [json.dumps(CODEC.unstructure(vms, list[Vm])).encode()]
            case Err(_):
                start_response("503 Service Unavailable", [])
        return [b""]
