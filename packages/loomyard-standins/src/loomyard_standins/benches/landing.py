"""Where callers land: on their own router, or on the next one while it is down."""

from __future__ import annotations


class Landing:
    """The balancer before the routers; ``ports`` may change while it runs."""

    def __init__(self, ports: list[int]) -> None:
        self._ports = ports
        self._down: set[int] = set()

    def port(self, router: int) -> int:
        """Return the port for callers of a router; with one router all land on it."""
        count = len(self._ports)
        order = ((router + step) % count for step in range(count))
        return self._ports[next((r for r in order if r not in self._down), router % count)]

    def set_down(self, router: int, *, down: bool) -> None:
        """Take a router out, or in again."""
        if down:
            self._down.add(router)
        else:
            self._down.discard(router)
