"""The kinds of configuration object and references to objects."""

from __future__ import annotations

from attrs import frozen

from loomyard.objects.client_account import ClientAccount
from loomyard.objects.route import Route
from loomyard.objects.service import Service
from loomyard.objects.target import Target

ConfigObject = ClientAccount | Service | Target | Route

KINDS: dict[str, type[ConfigObject]] = {
    kind.__name__: kind for kind in (ClientAccount, Service, Target, Route)
}


@frozen(order=True)
class ObjectRef:
    """A reference to an object by kind and name."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


def ref_of(item: ConfigObject) -> ObjectRef:
    """Return the reference to an object."""
    return ObjectRef(type(item).__name__, item.metadata.name)
