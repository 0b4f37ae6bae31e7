"""The entry point of a router that runs as a process of the platform."""

from __future__ import annotations

from loomyard_router.startup.early_signals import EarlySignals

# First: the default action of a signal would end the process, which counts as a crash.
SIGNALS = EarlySignals()
SIGNALS.install()

import gc  # noqa: E402

from loomyard_router.startup.standard_descriptors import (  # noqa: E402
    STDOUT,
    fill_standard_descriptors,
)
from loomyard_router.startup.start_times import StartTimes  # noqa: E402

START_TIMES = StartTimes()
fill_standard_descriptors()
# Imported objects live as long as the process; collecting among them takes an eighth of the
# processor time of a start. ``tune_collector`` turns the collector on again.
gc.disable()

from gevent import monkey  # noqa: E402

monkey.patch_all()

# Everything below must see the patched standard library.
import logging  # noqa: E402
import os  # noqa: E402
import signal  # noqa: E402
from typing import TYPE_CHECKING, NoReturn  # noqa: E402

from gevent.event import Event as GeventEvent  # noqa: E402
from result import Err, Ok  # noqa: E402

from loomyard.bounded_log import BoundedLogHandler  # noqa: E402
from loomyard.clock import Clock, SystemClock  # noqa: E402
from loomyard.errors import Fault, ResultCode  # noqa: E402
from loomyard.events import Event, emit  # noqa: E402
from loomyard.logs import JSON, install_handler  # noqa: E402
from loomyard.util.collector import tune_collector  # noqa: E402
from loomyard_router.feeds.store_era import StoreEra  # noqa: E402
from loomyard_router.memory.address_space import bound_address_space  # noqa: E402
from loomyard_router.platform import names  # noqa: E402
from loomyard_router.platform.callers import PlatformCallers  # noqa: E402
from loomyard_router.platform.documents import (  # noqa: E402
    decode_configuration,
    decode_target,
    find_evacuated_data_centre,
)
from loomyard_router.platform.settings_wait import await_settings  # noqa: E402
from loomyard_router.platform.settings_watch import SettingsWatch  # noqa: E402
from loomyard_router.platform.store_archive import StoreArchive  # noqa: E402
from loomyard_router.platform.store_feed import StoreFeed  # noqa: E402
from loomyard_router.platform.targets import PlatformTargets  # noqa: E402
from loomyard_router.routed_application import RoutedApplication, RoutedPlatform  # noqa: E402
from loomyard_router.startup.early_end import end_early  # noqa: E402
from loomyard_router.startup.loop_signals import await_stop, watch_signal  # noqa: E402
from loomyard_router.startup.port_wait import PortWait  # noqa: E402
from loomyard_router.startup.routed_sockets import reserve_sockets  # noqa: E402
from loomyard_router.supervision.uncaught import record_uncaught  # noqa: E402

if TYPE_CHECKING:
    from loomyard_router.routed_settings import RoutedSettings
    from loomyard_router.startup.routed_sockets import RoutedSockets

logger = logging.getLogger("loomyard_router.platform")

# The process before this one ends within the grace; this is for the platform and the kernel.
ADDRESS_MARGIN_SECONDS = 2.0
# Fits into the margin that a graceful shutdown leaves of the grace (``GRACE_MARGIN_SECONDS``).
FLUSH_SECONDS = 0.2


def main() -> NoReturn:
    """Run a router until a signal stops it, and end the process."""
    START_TIMES.mark("imports")
    bound_address_space()
    clock = SystemClock()
    log_handler = BoundedLogHandler(STDOUT, clock)
    install_handler(log_handler, JSON)
    log_handler.start()
    record_uncaught()
    stopping = GeventEvent()
    SIGNALS.on_stop(stopping.set)
    status = _run(clock, stopping)
    log_handler.flush_until(clock.now() + FLUSH_SECONDS)
    SIGNALS.end(status)


def _run(clock: Clock, stopping: GeventEvent) -> int:
    match await_settings(os.environ, clock, stopping, SIGNALS.begin_reading):
        case Err(fault):
            return end_early(fault, START_TIMES.seconds)
        case Ok(first):
            settings = first.settings
    emit(logger, Event.ROUTER_STARTING, name=settings.name, after=START_TIMES.seconds)
    wait = PortWait(clock, clock.now() + settings.grace + ADDRESS_MARGIN_SECONDS, stopping)
    match reserve_sockets(settings, wait):
        case Err(fault):
            return end_early(fault, START_TIMES.seconds)
        case Ok(sockets):
            START_TIMES.mark("addresses")
    application = _make_application(settings, clock, sockets)
    tune_collector()
    settings_watch = SettingsWatch(os.environ, clock, application.adopt, first.signature)
    SIGNALS.on_reload(settings_watch.request)
    watch_signal(signal.SIGHUP, settings_watch.request)
    for number in (signal.SIGTERM, signal.SIGINT):
        watch_signal(number, stopping.set)
    if stopping.is_set():
        return end_early(Fault(code=ResultCode.STOPPING, detail="a stop"), START_TIMES.seconds)
    START_TIMES.mark("components")
    settings_watch.start()
    application.start()
    START_TIMES.mark("listeners")
    emit(logger, Event.START_TOOK, reloads=SIGNALS.reloads, **START_TIMES.parts)
    await_stop(stopping)
    application.drain()
    return 0


def _make_application(
    settings: RoutedSettings, clock: Clock, sockets: RoutedSockets
) -> RoutedApplication:
    era = StoreEra()
    return RoutedApplication(
        settings,
        RoutedPlatform(
            clock=clock,
            era=era,
            tables=StoreFeed(settings.store, names.CONFIGURATION_TOPIC, clock, era),
            table_key=names.CONFIGURATION_KEY,
            decode_table=decode_configuration,
            find_evacuated_data_centre=find_evacuated_data_centre,
            targets=StoreFeed(settings.store, names.TARGETS_TOPIC, clock, era),
            decode_target=decode_target,
            caller_codec=PlatformCallers(),
            target_codec=PlatformTargets(),
            ready_path=names.READY_PATH,
            crashes=StoreArchive(settings.store, names.CRASHES_TOPIC, clock, era),
            part_crashes=StoreArchive(settings.store, names.PART_CRASHES_TOPIC, clock, era),
        ),
        sockets,
    )


if __name__ == "__main__":
    main()
