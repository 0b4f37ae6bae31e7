"""What the lagging VM list says of the VMs of targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard.outside.vm_list import VmState

if TYPE_CHECKING:
    from loomyard.outside.vm_list import Vm
    from loomyard_router.targets.leaving_ledger import LeavingLedger


class LeavingVms:
    """Turn readings of the list into evidence."""

    def __init__(self, ledger: LeavingLedger) -> None:
        self._ledger = ledger
        self._listed: set[str] = set()

    def take(self, listed: list[Vm], names: set[str]) -> None:
        """Take in a reading, for the VMs of some names."""
        states = {vm.name: vm.state for vm in listed if vm.name in names}
        for name in names:
            state = states.get(name)
            # A VM that was never listed may be too new for the lagging list; one that was and is
            # no longer has gone.
            if state is VmState.LEAVING or (state is None and name in self._listed):
                self._ledger.see_leaving(name)
            elif state is VmState.LIVE:
                self._ledger.see_live(name)
        self._listed |= states.keys()
        self._listed &= names
