"""Processes of one run: targets, routers, and a log service inside the driver process."""

from __future__ import annotations

import json
import secrets
import time
from typing import TYPE_CHECKING

import gevent
from geventhttpclient import HTTPClient

from loomyard.codec import encode
from loomyard.configuration import Change, Put
from loomyard.external.vm_list import Vm
from loomyard.objects import (
    ClientAccount,
    ConfigObject,
    Metadata,
    Route,
    Service,
    ServiceType,
    Target,
)
from loomyard_router.callers.keys import digest_key
from loomyard_router.configuration.follower import CONFIG_STREAM
from loomyard_standins.benches.child import Child
from loomyard_standins.benches.data_centres import data_centre_of
from loomyard_standins.benches.driver import (
    COMPLETION_WEIGHT,
    PROMPT_WEIGHT,
    SECOND_WEIGHT,
    api_key_of,
)
from loomyard_standins.benches.router_status import RouterStatus
from loomyard_standins.log_service import LogServer, MemoryLog
from loomyard_standins.vm_list import MemoryVmList, VmListServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_standins.benches.workload import Workload

if TYPE_CHECKING:
    from loomyard_standins.benches.workload import Workload

SINGLE = "single"
FLEET = "fleet"
STATUS_TIMEOUT_SECONDS = 5.0
READY_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05
DEFAULT_COST_UNITS = 200.0


def router_name(position: int) -> str:
    """Return the name of the router at a position in the fleet."""
    return f"router-{position}"


class BenchFleet:
    """Start, query and stop the processes of one run."""

    def __init__(self, workload: Workload, *, policy: str, routers: int) -> None:
        self.workload = workload
        self.log = LogServer(MemoryLog())
        self.vms = VmListServer(MemoryVmList())
        self.routers: list[Child] = []
        self.ports: list[int] = []
        self._policy = policy
        self._router_count = routers
        self._status_ports: list[int] = []
        self._engines: Child | None = None
        self._seed = ""
        self._urls: list[str] = []

    def start(self) -> None:
        """Start all processes and wait until every router has applied the configuration."""
        self.log.start()
        self.vms.start()
        self._engines = Child("engine_process", json.dumps(self._describe_targets()))
        seeds = self._router_count if self._policy != FLEET else 1
        self._add_routers(range(seeds))
        self._add_routers(range(seeds, self._router_count))
        self._urls = self._engines.read()["urls"]
        self._publish()
        self._await_status(
            lambda status: self._policy != FLEET or status.live == self._router_count
        )

    def stop(self) -> None:
        """Stop all processes."""
        for child in [*self.routers, self._engines]:
            if child is not None:
                child.kill()
        self.vms.stop()
        self.log.stop()

    def partition(self, position: int, names: list[str]) -> None:
        """Drop what a router sends to the named routers; an empty list ends the partition."""
        self._get(position, f"/cut?names={','.join(names)}")

    def kill_router(self, position: int) -> None:
        """Kill a router process; its port stays in ``ports``."""
        self.routers[position].kill()

    def restart_router(self, position: int) -> None:
        """Restart a killed router under its old name, without any state."""
        child = self._start_router(position)
        self.routers[position] = child
        self._register_router(position, child.read())

    def status(self, position: int) -> RouterStatus:
        """Return the status and counters of a router process."""
        return RouterStatus(**json.loads(self._get(position, "/")))

    def router_cpu_seconds(self) -> list[float]:
        """Return the CPU seconds used by each router."""
        return [router.cpu_seconds() for router in self.routers]

    def engine_cpu_seconds(self) -> float:
        """Return the CPU seconds used by the process that runs the targets."""
        return self._engines.cpu_seconds() if self._engines else 0.0

    def stop_engines(self) -> dict:
        """Stop the targets and return their report."""
        assert self._engines is not None
        return self._engines.request(b"end\n")

    def _get(self, position: int, path: str) -> bytes:
        port = self._status_ports[position]
        client = HTTPClient("127.0.0.1", port, network_timeout=STATUS_TIMEOUT_SECONDS)
        try:
            return bytes(client.get(path).read())
        finally:
            client.close()

    def _add_routers(self, positions: range) -> None:
        children = [self._start_router(position) for position in positions]
        self.routers += children
        for position, child in zip(positions, children, strict=True):
            self.ports.append(0)
            self._status_ports.append(0)
            self._register_router(position, child.read())

    def _register_router(self, position: int, addresses: dict) -> None:
        self.ports[position] = addresses["port"]
        self._status_ports[position] = addresses["status_port"]
        if not addresses["peer_address"]:
            return
        self._seed = self._seed or addresses["peer_address"]
        name = router_name(position)
        vms = [vm for vm in self.vms.vm_list.vms if vm.name != name]
        centre = data_centre_of(position)
        self.vms.vm_list.vms = [
            *vms,
            Vm(name=name, data_centre=centre, address=addresses["peer_address"]),
        ]
        self.vms.vm_list.publish()

    def _start_router(self, position: int) -> Child:
        policy = "local" if self._policy == SINGLE else self._policy
        peering = [
            "--peer-listen=127.0.0.1:0",
            f"--peers={self._seed}",
            "--fleet-secret=bench",
            f"--vm-list={self.vms.address}",
        ]
        return Child(
            "router_process",
            f"--name={router_name(position)}",
            f"--data-centre={data_centre_of(position)}",
            "--listen=127.0.0.1:0",
            f"--log-service={self.log.address}",
            f"--policy={policy}",
            f"--position={position}",
            f"--routers={self._router_count}",
            *(peering if self._policy == FLEET else []),
        )

    def _describe_targets(self) -> dict:
        targets = [
            {"service": plan.name, "type": plan.type.value, "slots": plan.slots}
            for plan in self.workload.services
            for _ in range(plan.targets)
        ]
        return {"step_seconds": self.workload.step_seconds, "targets": targets}

    def _publish(self) -> None:
        change = Change(
            change_id=secrets.token_hex(8), puts=[Put(object=o) for o in self._objects()]
        )
        version = self.log.log.append(CONFIG_STREAM, encode(change)).unwrap()
        self._await_status(lambda status: status.version >= version)

    def _await_status(self, predicate: Callable[[RouterStatus], bool]) -> None:
        until = time.monotonic() + READY_TIMEOUT_SECONDS
        while not all(predicate(self.status(position)) for position in range(self._router_count)):
            if time.monotonic() > until:
                raise TimeoutError("the routers did not become ready in time")
            gevent.sleep(POLL_INTERVAL_SECONDS)

    def _objects(self) -> list[ConfigObject]:
        objects: list[ConfigObject] = [
            ClientAccount(
                metadata=Metadata(name=plan.name),
                key_digests=[digest_key(api_key_of(plan.name))],
                weight=plan.weight,
                queue_limit=plan.queue_limit,
            )
            for plan in self.workload.accounts
        ]
        position = 0
        for plan in self.workload.services:
            objects.append(_service(plan.name, plan.type))
            objects.append(Route(metadata=Metadata(name=plan.name), service=plan.name))
            for number in range(plan.targets):
                objects.append(
                    Target(
                        metadata=Metadata(name=f"{plan.name}-{number}"),
                        url=self._urls[position],
                        services=[plan.name],
                        slots=plan.slots,
                        data_centre=data_centre_of(position),
                    )
                )
                position += 1
        return objects


def _service(name: str, kind: ServiceType) -> Service:
    return Service(
        metadata=Metadata(name=name),
        type=kind,
        prompt_weight=PROMPT_WEIGHT,
        completion_weight=COMPLETION_WEIGHT,
        second_weight=SECOND_WEIGHT,
        default_cost=DEFAULT_COST_UNITS,
    )
