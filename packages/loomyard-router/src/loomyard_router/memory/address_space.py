"""Bounds on the address space that the process reserves without need."""

from __future__ import annotations

import threading

import gevent

from loomyard_router.memory.c_allocator import limit_arenas, return_blocks
from loomyard_router.memory.numeric_resolver import NumericResolver

# The event loop runs in the main thread; others only look names up.
MAX_ARENAS = 1
MAX_THREADS = 2
RETURNED_BYTES = 1 << 20
STACK_BYTES = 1 << 20


def bound_address_space() -> None:
    """Bound arenas, stacks and threads; to be called before the first thread starts."""
    limit_arenas(MAX_ARENAS)
    return_blocks(RETURNED_BYTES)
    threading.stack_size(STACK_BYTES)
    hub = gevent.get_hub()
    hub.threadpool.maxsize = MAX_THREADS
    hub.resolver = NumericResolver(hub)
