"""Configuration for the simulation of share policies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard.configuration import ConfigState, VersionedObject, make_state
from loomyard.objects import (
    ClientAccount,
    ConfigObject,
    Metadata,
    Route,
    Service,
    Target,
)

if TYPE_CHECKING:
    from loomyard_standins.share_load import Load


def make_share_state(loads: list[Load], engines: dict[str, tuple[int, int]]) -> ConfigState:
    """Return a state with the accounts of the loads and, by service, (count, slots) of engines."""
    weights = {load.account: load.weight for load in loads}
    objects: list[ConfigObject] = [
        ClientAccount(metadata=Metadata(name=name), weight=weight)
        for name, weight in weights.items()
    ]
    for service, (count, slots) in engines.items():
        objects.append(Service(metadata=Metadata(name=service)))
        objects.append(Route(metadata=Metadata(name=service), service=service))
        objects += [
            Target(
                metadata=Metadata(name=f"{service}-{number}"),
                url="http://127.0.0.1:1",
                services=[service],
                slots=slots,
            )
            for number in range(count)
        ]
    versioned = [VersionedObject(item, 0) for item in objects]
    return make_state(versioned, version=0, applied=0)
