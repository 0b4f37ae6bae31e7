"""HTTP client of the VM list: ``/vms`` with a JSON list."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.codec import CODEC
from loomyard.errors import Fault, ResultCode
from loomyard.external.vm_list import Vm
from loomyard.util.addresses import split_address
from loomyard.util.tcp import make_http_client

if TYPE_CHECKING:
    from loomyard.external.vm_list import VmList

CONNECT_TIMEOUT = 1.0
ANSWER_TIMEOUT = 5.0
HTTP_OK = 200


class HttpVmList:
    """VM list client; every failure is the fault ``VM_LIST_UNAVAILABLE``."""

    def __init__(self, host: str, port: int) -> None:
        self._client = make_http_client(
            host, port, connection_timeout=CONNECT_TIMEOUT, network_timeout=ANSWER_TIMEOUT
        )

    def read(self) -> Result[list[Vm], Fault]:
        """Fetch all VMs of the list."""
        try:
            response = self._client.get("/vms")
            body = bytes(response.read())
            if response.status_code != HTTP_OK:
                return Err(_unavailable(f"status {response.status_code}"))
            return Ok(CODEC.structure(json.loads(body), list[Vm]))
        except Exception as error:  # sockets, JSON and conversion raise many types
            return Err(_unavailable(f"{type(error).__name__}: {error}"))


def connect_vm_list(address: str) -> VmList:
    """Make a client of the VM list for ``host:port``."""
    return HttpVmList(*split_address(address))


def _unavailable(detail: str) -> Fault:
    return Fault(code=ResultCode.VM_LIST_UNAVAILABLE, detail=detail)
