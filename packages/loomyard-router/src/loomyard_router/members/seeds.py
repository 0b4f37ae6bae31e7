"""Addresses at which routers may be found, from the settings and the VM list."""

from __future__ import annotations

from attrs import define

from loomyard.external.vm_list import Vm, VmState


@define(eq=False)
class Seeds:
    """Where to look for routers; the VM list lags, so it says nothing about their liveness."""

    settings: tuple[str, ...] = ()
    vms: tuple[Vm, ...] = ()

    @property
    def addresses(self) -> set[str]:
        return {*self.settings, *(vm.address for vm in self.vms if vm.address)}

    @property
    def names(self) -> set[str]:
        return {vm.name for vm in self.vms}

    @property
    def leaving(self) -> frozenset[str]:
        return frozenset(vm.name for vm in self.vms if vm.address and vm.state is VmState.LEAVING)
