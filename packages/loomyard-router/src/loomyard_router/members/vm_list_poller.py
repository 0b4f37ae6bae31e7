"""Periodic reading of the VM list."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Err, Ok

from loomyard.events import Event, emit
from loomyard_router.supervision.listeners import Listeners
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    from collections.abc import Callable

    import gevent

    from loomyard.clock import Clock
    from loomyard.external.vm_list import Vm, VmList

logger = logging.getLogger(__name__)

INTERVAL = 3.0


class VmListPoller:
    """Pass the VMs to listeners after each successful read of the VM list."""

    def __init__(self, vm_list: VmList, clock: Clock) -> None:
        self._vm_list = vm_list
        self._clock = clock
        self._listeners = Listeners("VM list")
        self._available = True
        self._task: gevent.Greenlet | None = None

    def subscribe(self, listed: Callable[[list[Vm]], None]) -> None:
        """Call back with the VMs of each successful read."""
        self._listeners.subscribe(listed)

    def start(self) -> None:
        """Start to read periodically."""
        self._task = start_supervised("VM list", self._clock, self._run)

    def stop(self) -> None:
        """End the task."""
        if self._task is not None:
            self._task.kill()

    def poll(self) -> None:
        """Read the list once and notify the listeners."""
        match self._vm_list.read():
            case Ok(vms):
                self._record_availability(available=True)
                self._listeners.notify(vms)
            case Err(fault):
                self._record_availability(available=False, detail=fault.detail)

    def _run(self) -> None:
        while True:
            self.poll()
            self._clock.sleep(INTERVAL)

    def _record_availability(self, *, available: bool, detail: str = "") -> None:
        if available != self._available:
            self._available = available
            event = Event.VM_LIST_RECOVERED if available else Event.VM_LIST_UNAVAILABLE
            emit(logger, event, detail=detail)
