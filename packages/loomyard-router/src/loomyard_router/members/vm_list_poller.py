"""Read the VM list from time to time."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok

from loomyard.events import Event, emit

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.outside.vm_list import Vm, VmList

logger = logging.getLogger(__name__)

INTERVAL = 3.0


class VmListPoller:
    """Give the VMs to listeners after each reading; one that failed changes nothing."""

    def __init__(self, vm_list: VmList, clock: Clock) -> None:
        self._vm_list = vm_list
        self._clock = clock
        self._listeners: list[Callable[[list[Vm]], None]] = []
        self._available = True
        self._task: gevent.Greenlet | None = None

    def subscribe(self, listed: Callable[[list[Vm]], None]) -> None:
        """Call back with the VMs of each reading."""
        self._listeners.append(listed)

    def start(self) -> None:
        """Start to read."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.kill()

    def read(self) -> None:
        """Read once."""
        match self._vm_list.read():
            case Ok(vms):
                self._note(available=True)
                for listener in self._listeners:
                    listener(vms)
            case Err(fault):
                self._note(available=False, detail=fault.detail)

    def _run(self) -> None:
        while True:
            self.read()
            self._clock.sleep(INTERVAL)

    def _note(self, *, available: bool, detail: str = "") -> None:
        if available != self._available:
            self._available = available
            event = Event.VM_LIST_RECOVERED if available else Event.VM_LIST_UNAVAILABLE
            emit(logger, event, detail=detail)
