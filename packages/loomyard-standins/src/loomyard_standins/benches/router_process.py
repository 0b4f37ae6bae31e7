"""Router process of a benchmark: the product with delays between data centres."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import logging  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
from typing import TYPE_CHECKING, Any  # noqa: E402
from urllib.parse import parse_qs  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402
from gevent.pywsgi import WSGIServer  # noqa: E402

from loomyard_router.application import Application, make_application, make_platform  # noqa: E402
from loomyard_router.settings import parse_settings  # noqa: E402
from loomyard_standins.benches.child import exit_with_parent, send_to_parent  # noqa: E402
from loomyard_standins.benches.counting_log import CountingLog  # noqa: E402
from loomyard_standins.benches.delayed_engine import DelayedEngine  # noqa: E402
from loomyard_standins.benches.peer_network import PeerNetwork  # noqa: E402
from loomyard_standins.benches.router_status import RouterStatus  # noqa: E402
from loomyard_standins.benches.slot_moves import SlotMoves  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

RUN_SECONDS = 3600.0


def main() -> int:
    """Serve until the parent process ends."""
    logging.basicConfig(level=logging.ERROR)
    settings = parse_settings(sys.argv[1:], os.environ).unwrap()
    platform = make_platform(settings)
    log = CountingLog(platform.log)
    platform.log = log
    platform.engine = DelayedEngine(platform.engine, settings.data_centre)
    application = make_application(settings, platform)
    status = WSGIServer(("127.0.0.1", 0), _StatusApp(application, log), log=None)
    status.start()
    application.start()
    exit_with_parent()
    send_to_parent(
        port=application.port,
        status_port=status.server_port,
        peer_address=application.components.members.own.address,
    )
    gevent.sleep(RUN_SECONDS)
    return 0


class _StatusApp:
    """WSGI application that returns the router status and sets partitions (``/cut``)."""

    def __init__(self, application: Application, log: CountingLog) -> None:
        self._components = application.components
        self._log = log
        self._slot_moves = SlotMoves(self._components.policy)
        self._network = PeerNetwork(self._components)

    def __call__(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        if environ["PATH_INFO"] == "/cut":
            names = parse_qs(environ["QUERY_STRING"]).get("names", [""])[0]
            self._network.partition(set(filter(None, names.split(","))))
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(attrs.asdict(self._read_status())).encode()]

    def _read_status(self) -> RouterStatus:
        traffic = self._components.traffic
        return RouterStatus(
            version=self._components.follower.state.version,
            live=len(self._components.members.live()),
            log_appends=self._log.appends,
            control_bytes=traffic.sent_bytes,
            control_messages=traffic.sent_messages,
            slots_moved=self._slot_moves.count,
            kinds={k: (m.sent_messages, m.sent_bytes) for k, m in traffic.kinds.items()},
        )


if __name__ == "__main__":
    sys.exit(main())
