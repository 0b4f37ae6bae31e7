"""Read the VM list for what it says of the VMs of targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from loomyard import rendezvous
from loomyard.platform.vm_list import VmState

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.platform.vm_list import VmList
    from loomyard_router.members.membership import Membership
    from loomyard_router.targets.leaving_ledger import LeavingLedger

READ_SECONDS = 2.0
READERS = 3
READERS_KEY = "vm-list"


class VmWatcher:
    """Let a few routers read the list; the others hear what changed from them."""

    def __init__(
        self, clock: Clock, vm_list: VmList, members: Membership, ledger: LeavingLedger
    ) -> None:
        self._clock = clock
        self._vm_list = vm_list
        self._members = members
        self._ledger = ledger
        self._due = clock.now()
        self._listed: set[str] = set()

    def run_due(self, vms: set[str]) -> None:
        """Read the list where it is due and this router's, for some VMs."""
        now = self._clock.now()
        if now < self._due:
            return
        self._due = now + READ_SECONDS
        if self._is_reader():
            self._read(vms)

    def _is_reader(self) -> bool:
        names = [member.name for member in self._members.live()]
        return self._members.own.name in rendezvous.rank(READERS_KEY, names)[:READERS]

    def _read(self, vms: set[str]) -> None:
        match self._vm_list.read():
            case Ok(listed):
                states = {vm.name: vm.state for vm in listed if vm.name in vms}
            case _:
                return
        for name in vms:
            state = states.get(name)
            # A VM that was never listed may be too new for the lagging list; one that was and is
            # no longer has gone.
            if state is VmState.LEAVING or (state is None and name in self._listed):
                self._ledger.see_leaving(name)
            elif state is VmState.LIVE:
                self._ledger.see_live(name)
        self._listed |= states.keys()
        self._listed &= vms
