"""Tests of the HTTP client of the VM list."""

from __future__ import annotations

import unittest

from loomyard.errors import ResultCode
from loomyard.external.http_vm_list import connect_vm_list
from loomyard.external.vm_list import Vm, VmState
from loomyard_standins.scripted_target import ScriptedTarget, answer_bytes
from loomyard_standins.vm_list import MemoryVmList, VmListServer

VMS = [
    Vm(name="r0", data_centre="dc-1", address="10.0.0.1:7000"),
    Vm(name="engine-1", data_centre="dc-2", state=VmState.LEAVING),
]


class HttpVmListTest(unittest.TestCase):
    def test_reads_what_was_published(self) -> None:
        server = VmListServer(MemoryVmList())
        server.start()
        self.addCleanup(server.stop)
        client = connect_vm_list(server.address)
        server.vm_list.vms = list(VMS)
        self.assertEqual(client.read().unwrap(), [])
        server.vm_list.publish()
        self.assertEqual(client.read().unwrap(), VMS)
        server.vm_list.down = True
        self.assertEqual(client.read().unwrap_err().code, ResultCode.VM_LIST_UNAVAILABLE)

    def test_an_unreachable_or_malformed_list_is_a_fault(self) -> None:
        self.assertTrue(connect_vm_list("127.0.0.1:1").read().is_err())
        for body in (b"", b"{", b"7", b'[{"name": 1}]', b'[{"name": "a", "state": "odd"}]'):
            target = ScriptedTarget(
                lambda call, sock, body=body: sock.sendall(answer_bytes(call, body))
            )
            target.start()
            self.addCleanup(target.stop)
            address = target.url.removeprefix("http://")
            self.assertTrue(connect_vm_list(address).read().is_err(), body)


if __name__ == "__main__":
    unittest.main()
