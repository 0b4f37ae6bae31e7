"""Simulated load balancer before the routers."""

from __future__ import annotations


class LoadBalancer:
    """Map callers to router ports, failing over to the next router; ``ports`` may change."""

    def __init__(self, ports: list[int]) -> None:
        self._ports = ports
        self._down: set[int] = set()

    def port(self, router: int) -> int:
        """Return the port of a router, or of the next one that is not down (modulo their count)."""
        count = len(self._ports)
        order = ((router + step) % count for step in range(count))
        return self._ports[next((r for r in order if r not in self._down), router % count)]

    def set_down(self, router: int, *, down: bool) -> None:
        """Mark a router as down or up."""
        if down:
            self._down.add(router)
        else:
            self._down.discard(router)
