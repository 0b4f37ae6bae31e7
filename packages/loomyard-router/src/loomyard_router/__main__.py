"""The command ``loomyard-router``."""

from __future__ import annotations

from loomyard_router.startup.early_signals import EarlySignals

# First: the default action of a signal would end the process, which counts as a crash.
SIGNALS = EarlySignals()
SIGNALS.install()

from loomyard_router.startup.standard_descriptors import fill_standard_descriptors  # noqa: E402
from loomyard_router.startup.start_times import StartTimes  # noqa: E402

START_TIMES = StartTimes()
fill_standard_descriptors()

from gevent import monkey  # noqa: E402

monkey.patch_all()

# Everything below must see the patched standard library.
import logging  # noqa: E402
import os  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from functools import partial  # noqa: E402
from typing import TYPE_CHECKING, NoReturn  # noqa: E402

from gevent.event import Event as GeventEvent  # noqa: E402
from result import Err, Ok  # noqa: E402

from loomyard.clock import SystemClock  # noqa: E402
from loomyard.errors import Fault, ResultCode  # noqa: E402
from loomyard.events import Event, emit  # noqa: E402
from loomyard.logs import configure_logs  # noqa: E402
from loomyard.util.collector import tune_collector  # noqa: E402
from loomyard_router.application import make_application  # noqa: E402
from loomyard_router.memory.address_space import bound_address_space  # noqa: E402
from loomyard_router.peers.sockets import bind_peer_sockets  # noqa: E402
from loomyard_router.settings import parse_settings  # noqa: E402
from loomyard_router.startup.early_end import end_early  # noqa: E402
from loomyard_router.startup.loop_signals import await_stop, watch_signal  # noqa: E402
from loomyard_router.startup.port_wait import PortWait  # noqa: E402
from loomyard_router.supervision.uncaught import record_uncaught  # noqa: E402

if TYPE_CHECKING:
    from result import Result

    from loomyard_router.application import Application
    from loomyard_router.settings import Settings

logger = logging.getLogger("loomyard_router")

EXIT_SETTINGS = 2
# The process before this one ends within the seconds of its drain; this is for the kernel.
ADDRESS_MARGIN_SECONDS = 2.0


def main() -> NoReturn:
    """Run a router until a signal or an operator stops it, and end the process."""
    bound_address_space()
    stopping = GeventEvent()
    SIGNALS.on_stop(stopping.set)
    SIGNALS.end(_run(stopping))


def _run(stopping: GeventEvent) -> int:
    match parse_settings(sys.argv[1:], os.environ):
        case Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            return EXIT_SETTINGS
        case Ok(settings):
            pass
    configure_logs(settings.log_format)
    tune_collector()
    record_uncaught()
    clock = SystemClock()
    wait = PortWait(clock, clock.now() + settings.drain_seconds + ADDRESS_MARGIN_SECONDS, stopping)
    match _bind(settings, wait):
        case Err(obstacle):
            return end_early(obstacle, START_TIMES.seconds)
        case Ok(application):
            pass
    # Settings are arguments and variables, which a process can't read again.
    SIGNALS.on_reload(_say_reload_ignored)
    watch_signal(signal.SIGHUP, _say_reload_ignored)
    for number in (signal.SIGTERM, signal.SIGINT):
        watch_signal(number, stopping.set)
    application.on_stop_request(stopping.set)
    if stopping.is_set():
        return end_early(Fault(code=ResultCode.STOPPING, detail="a stop"), START_TIMES.seconds)
    application.start()
    await_stop(stopping)
    application.drain()
    return 0


def _bind(settings: Settings, wait: PortWait) -> Result[Application, Fault]:
    sockets = None
    if settings.peer_listen:
        # First, since only one process can have it: nobody reaches one that waits for it.
        match wait.obtain(settings.peer_listen, partial(bind_peer_sockets, settings.peer_listen)):
            case Err() as failed:
                return failed
            case Ok(bound):
                sockets = bound
    application = make_application(settings, sockets=sockets)
    return application.bind(wait).map(lambda _: application)


def _say_reload_ignored() -> None:
    emit(logger, Event.RELOAD_IGNORED)


if __name__ == "__main__":
    main()
