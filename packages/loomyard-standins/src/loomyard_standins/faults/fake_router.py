"""Router process of a fake fleet, from one start to its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field
from gevent import Greenlet

from loomyard_router.application import Application
from loomyard_standins.faults.fault_points import FaultPoints

if TYPE_CHECKING:
    from loomyard_standins.faults.fake_caller_server import FakeCallerServer


@define(eq=False)
class FakeRouter:
    """A router application, its fault points and the tasks (``calls``) of its callers."""

    name: str
    application: Application
    points: FaultPoints
    calls: list[Greenlet] = field(factory=list)

    @property
    def server(self) -> FakeCallerServer:
        return self.application._server
