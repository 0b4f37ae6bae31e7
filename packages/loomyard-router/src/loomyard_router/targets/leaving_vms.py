"""Leaving state of the targets' VMs, from the VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard.external.vm_list import VmState

if TYPE_CHECKING:
    from loomyard.external.vm_list import Vm
    from loomyard_router.targets.leaving_ledger import LeavingLedger


class LeavingVms:
    """Records observations of VMs in a leaving ledger; the VM list lags behind reality."""

    def __init__(self, ledger: LeavingLedger) -> None:
        self._ledger = ledger
        self._listed: set[str] = set()

    def apply_listing(self, listed: list[Vm], names: set[str]) -> None:
        """Apply a reading of the VM list to the VMs in ``names``."""
        states = {vm.name: vm.state for vm in listed if vm.name in names}
        for name in names:
            state = states.get(name)
            # A VM that was never listed may be too new for the lagging list; one that was listed
            # and is no longer is gone.
            if state is VmState.LEAVING or (state is None and name in self._listed):
                self._ledger.record_leaving(name)
            elif state is VmState.LIVE:
                self._ledger.record_live(name)
        self._listed |= states.keys()
        self._listed &= names
