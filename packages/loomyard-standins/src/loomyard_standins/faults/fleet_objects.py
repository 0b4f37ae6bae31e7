"""Configuration objects of a fake fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard.objects import (
    ClientAccount,
    ConfigObject,
    Metadata,
    Operation,
    Route,
    Service,
    ServiceType,
    Target,
)
from loomyard_router.callers.keys import digest_key
from loomyard_standins.faults.fake_call import MODEL, PLAIN, fake_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard_standins.faults.fake_target import FakeTarget

ACCOUNTS = ("kiosk", "genealogy", "labels")
LOADABLE = "translator"


def make_target_object(target: FakeTarget) -> Target:
    """Return the configuration object of a fake target."""
    return Target(
        metadata=Metadata(name=target.name, labels={"kind": "plain" if target.plain else "engine"}),
        url=target.url,
        services=[PLAIN if target.plain else MODEL],
        loadable=[] if target.plain else [LOADABLE],
        slots=2,
        vm=target.name,
        checks_fencing=target.checks_fencing,
    )


def make_objects(configured: Iterable[FakeTarget]) -> list[ConfigObject]:
    """Return the accounts, services and routes of the fleet, and the given targets."""
    receipts = Operation(path="/receipts", method="POST", idempotent=False)
    accounts = [
        ClientAccount(metadata=Metadata(name=name), key_digests=[digest_key(fake_key(name))])
        for name in ACCOUNTS
    ]
    services = [
        Service(metadata=Metadata(name=MODEL), default_cost=10.0),
        Service(metadata=Metadata(name=LOADABLE), default_cost=10.0),
        Service(metadata=Metadata(name=PLAIN), type=ServiceType.PLAIN, operations=[receipts]),
    ]
    targets = [make_target_object(target) for target in configured]
    routes = [
        Route(metadata=Metadata(name=name), service=name) for name in (MODEL, PLAIN, LOADABLE)
    ]
    return [*accounts, *services, *targets, *routes]
