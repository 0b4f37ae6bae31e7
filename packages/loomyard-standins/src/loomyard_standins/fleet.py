"""Small fleet of routers with the stand-ins of its environment, in one process."""

from __future__ import annotations

import secrets

import gevent
from attrs import define, field

from loomyard.codec import encode
from loomyard.configuration import ABSENT, Change, Put, Verdict
from loomyard.external.vm_list import Vm
from loomyard.objects import (
    ClientAccount,
    ConfigObject,
    Metadata,
    Operation,
    Route,
    Service,
    ServiceType,
    Target,
    ref_of,
)
from loomyard_router.application import Application, make_application
from loomyard_router.callers.keys import digest_key
from loomyard_router.configuration.follower import CONFIG_STREAM
from loomyard_router.settings import Settings
from loomyard_standins.engine import EngineServer
from loomyard_standins.log_service import LogServer, MemoryLog
from loomyard_standins.plain_service import PlainServer
from loomyard_standins.vm_list import MemoryVmList, VmListServer

# Weight by name.
ACCOUNTS = {"kiosk": 1.0, "genealogy": 1.0, "labels": 1.0, "handover": 2.0}
RECEIPT_ACCOUNT = "receipts"
ENGINE_SLOTS = 8
ENGINE_STEP_SECONDS = 0.006
DATA_CENTRES = ("dc-1", "dc-2")
OBJECTS_PER_CHANGE = 500
OPERATOR_KEY = "key-operator"
FLEET_SECRET = "stand-in fleet"


@define(eq=False)
class StandinFleet:
    """Routers, engines, a plain service, a VM list and a log service."""

    log: LogServer
    engines: list[EngineServer] = field(factory=list)
    plain: PlainServer = field(factory=PlainServer)
    vms: VmListServer = field(factory=lambda: VmListServer(MemoryVmList()))
    routers: list[Application] = field(factory=list)

    @property
    def urls(self) -> list[str]:
        return [f"http://127.0.0.1:{router.port}" for router in self.routers]

    def publish(self, objects: list[ConfigObject]) -> None:
        """Append changes and wait until they are in force on every router.

        Raises ``ValueError`` if a change is rejected.
        """
        state = self.routers[0].components.follower.state
        existing = [state.get(ref_of(item)) for item in objects]
        puts = [
            Put(object=item, based_on=ABSENT if before is None else before.version)
            for item, before in zip(objects, existing, strict=True)
        ]
        for start in range(0, len(puts), OBJECTS_PER_CHANGE):
            self._publish(puts[start : start + OBJECTS_PER_CHANGE])

    def _publish(self, puts: list[Put]) -> None:
        change = Change(change_id=secrets.token_hex(8), puts=puts)
        offset = self.log.log.append(CONFIG_STREAM, encode(change)).unwrap()
        followers = [router.components.follower for router in self.routers]
        while any(follower.state.applied < offset for follower in followers):
            gevent.sleep(0.01)
        settled = followers[0].replica.settled(change.change_id)
        if settled is not None and settled.decision.verdict is not Verdict.ACCEPTED:
            raise ValueError(f"the change was rejected: {settled.decision}")

    def publish_vm(self, router: Application) -> None:
        """Add the VM of a router to the VM list and publish the list."""
        own = router.components.members.own
        vm = Vm(name=own.name, data_centre=own.data_centre, address=own.address)
        self.vms.vm_list.vms.append(vm)
        self.vms.vm_list.publish()

    def await_members(self) -> None:
        """Wait until every router has all routers in its membership."""
        while any(len(r.components.members.live()) < len(self.routers) for r in self.routers):
            gevent.sleep(0.01)

    def await_claims(self) -> None:
        """Wait until every router can claim idempotency keys."""
        while not all(router.components.claims.ready for router in self.routers):
            gevent.sleep(0.01)

    def stop(self) -> None:
        """Stop the routers, then the stand-ins."""
        for component in [*self.routers, *self.engines, self.plain, self.vms, self.log]:
            component.stop()


def start_fleet(*, routers: int = 3, engines: int = 4, policy: str = "local") -> StandinFleet:
    """Start a fleet with the sample configuration in force."""
    fleet = StandinFleet(LogServer(MemoryLog()))
    fleet.log.start()
    fleet.plain.start()
    fleet.vms.start()
    for _ in range(engines):
        engine = EngineServer(
            model="assistant", slots=ENGINE_SLOTS, step_seconds=ENGINE_STEP_SECONDS
        )
        engine.start()
        fleet.engines.append(engine)
    for position in range(routers):
        settings = Settings(
            name=f"router-{position}",
            data_centre=DATA_CENTRES[position % len(DATA_CENTRES)],
            listen="127.0.0.1:0",
            log_service=fleet.log.address,
            policy=policy,
            position=position,
            routers=routers,
            operator_listen="127.0.0.1:0",
            operator_keys=(digest_key(OPERATOR_KEY),),
            peer_listen="127.0.0.1:0",
            peers=tuple(router.components.members.own.address for router in fleet.routers[:1]),
            fleet_secret=(FLEET_SECRET,),
            vm_list=fleet.vms.address,
        )
        router = make_application(settings)
        router.start()
        fleet.routers.append(router)
        fleet.publish_vm(router)
    fleet.await_members()
    fleet.publish(sample_objects(fleet))
    fleet.await_claims()
    return fleet


def sample_key(account: str) -> str:
    """Return the API key of a sample account."""
    return f"key-{account}"


def sample_objects(fleet: StandinFleet) -> list[ConfigObject]:
    """Return accounts, services, targets and routes for the stand-ins."""
    objects: list[ConfigObject] = [
        ClientAccount(
            metadata=Metadata(name=name, labels={"tier": "standard"}),
            key_digests=[digest_key(sample_key(name))],
            weight=weight,
        )
        for name, weight in [*ACCOUNTS.items(), (RECEIPT_ACCOUNT, 1.0)]
    ]
    receipts = Operation(path="/receipts", method="POST", idempotent=False)
    objects += [
        Service(metadata=Metadata(name="assistant")),
        Service(metadata=Metadata(name="records"), type=ServiceType.PLAIN, operations=[receipts]),
    ]
    for number, engine in enumerate(fleet.engines):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        objects.append(
            Target(
                metadata=Metadata(name=f"engine-{number}", labels={"dc": data_centre}),
                url=engine.url,
                services=["assistant"],
                slots=ENGINE_SLOTS,
                data_centre=data_centre,
            )
        )
    objects += [
        Target(metadata=Metadata(name="records-0"), url=fleet.plain.url, services=["records"]),
        Route(
            metadata=Metadata(name="assistant"),
            service="assistant",
            accounts="tier=standard",
            targets="dc in (dc-1,dc-2)",
        ),
        Route(metadata=Metadata(name="records"), service="records"),
    ]
    return objects
