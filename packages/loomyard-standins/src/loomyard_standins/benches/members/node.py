"""A process with the membership and links of one router, controlled by lines of its input."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import logging  # noqa: E402
import sys  # noqa: E402
from typing import Any  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402
from attrs import frozen  # noqa: E402
from gevent.fileobject import FileObject  # noqa: E402

from loomyard.clock import SystemClock  # noqa: E402
from loomyard_router.fleet_components import FleetComponents, make_fleet_components  # noqa: E402
from loomyard_router.peers.message_types import peer_message  # noqa: E402
from loomyard_router.settings import Settings  # noqa: E402
from loomyard_standins.benches.slopes.usage import cpu_seconds, resident_bytes  # noqa: E402

SECRET = "bench"
REQUEST_SECONDS = 10.0


@peer_message("bench-counter")
@frozen(kw_only=True)
class Counter:
    """A small message, such as the counters of one client account."""

    account: str
    served: float
    waiting: int


class Node:
    """Membership and links of one router; its public methods are the commands."""

    def __init__(self, name: str, seed: str) -> None:
        self.clock = SystemClock()
        self.received = 0
        settings = Settings(
            name=name,
            data_centre="dc-1",
            peer_listen="127.0.0.1:0",
            peers=(seed,) if seed else (),
            fleet_secret=(SECRET,),
        )
        self.components: FleetComponents = make_fleet_components(settings, self.clock)
        self.components.peers.handle(Counter, self._receive)
        self.components.peers.start()
        self.components.members.start()
        self.changes: list[tuple[float, str, str]] = []
        self.components.members.subscribe(self._record_changes)

    def sample(self) -> dict[str, Any]:
        """Return traffic counters, membership changes and CPU seconds."""
        return {
            "kinds": {k: attrs.asdict(v) for k, v in self.components.traffic.kinds.items()},
            "cpu": cpu_seconds(),
            "live": len(self.components.members.live()),
            "received": self.received,
            "changes": self.changes,
            "address": self.components.members.own.address,
        }

    def memory(self) -> dict[str, int]:
        """Return the resident bytes; not part of ``sample`` as reading them takes CPU time."""
        return {"resident": resident_bytes()}

    def flood(self, to: str, rounds: str, interval: str, batch: str) -> dict[str, Any]:
        """Send ``rounds`` batches of messages, ``interval`` seconds apart; return CPU seconds."""
        before = cpu_seconds()
        for _ in range(int(rounds)):
            for number in range(int(batch)):
                message = Counter(account=f"a-{number}", served=1.5, waiting=number)
                self.components.peers.send(to, message)
            gevent.sleep(float(interval))
        return {"cpu": cpu_seconds() - before}

    def ask(self, to: str) -> dict[str, Any]:
        """Open a link to a router by a request; return whether it answered."""
        message = Counter(account="a", served=1.0, waiting=1)
        outcome = self.components.peers.request(to, message, self.clock.now() + REQUEST_SECONDS)
        return {"answered": outcome.is_ok()}

    def _receive(self, sender: object, message: Counter) -> None:
        self.received += 1

    def _record_changes(self) -> None:
        members = self.components.members
        names = {name for _, name, _ in self.changes} | {m.name for m in members.live()}
        now = self.clock.now()
        for name in names:
            member = members.find(name)
            if member is not None:
                self.changes.append((now, name, member.state.value))


def main() -> None:
    """Run commands, each answered by one line of JSON, until the input ends."""
    logging.disable(logging.CRITICAL)
    node = Node(sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else "")
    for line in FileObject(sys.stdin, "r"):
        command, *arguments = line.split()
        print(json.dumps(getattr(node, command)(*arguments)), flush=True)


if __name__ == "__main__":
    main()
