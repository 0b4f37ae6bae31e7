"""Outstanding pings."""

from __future__ import annotations

from attrs import define, field

NEVER = float("inf")


@define(eq=False, kw_only=True)
class Probe:
    """A ping without an answer yet.

    Other routers are asked to ping at ``indirect_at``; the probe fails at ``deadline``. With
    ``requester`` the ping is on behalf of the router at that address, under its nonce.
    """

    name: str
    incarnation: int
    address: str
    indirect_at: float
    deadline: float
    requester: str = ""
    requester_nonce: int = 0


@define(eq=False)
class Probes:
    """Outstanding probes by nonce."""

    _probes: dict[int, Probe] = field(factory=dict)
    _nonce: int = 0

    def __len__(self) -> int:
        return len(self._probes)

    def add(self, probe: Probe) -> int:
        """Add a probe and return its nonce."""
        self._nonce += 1
        self._probes[self._nonce] = probe
        return self._nonce

    def pop(self, nonce: int) -> Probe | None:
        """Remove and return an answered probe."""
        return self._probes.pop(nonce, None)

    def is_probing(self, name: str) -> bool:
        """Tell whether a probe of a router by this one is outstanding."""
        return any(probe.name == name and not probe.requester for probe in self._probes.values())

    def due_indirect(self, now: float) -> list[tuple[int, Probe]]:
        """Return the probes whose ``indirect_at`` has come; each is returned once."""
        due = [(nonce, probe) for nonce, probe in self._probes.items() if probe.indirect_at <= now]
        for _, probe in due:
            probe.indirect_at = NEVER
        return due

    def pop_failed(self, now: float) -> list[Probe]:
        """Remove all probes past their deadline and return those of this router itself."""
        late = [nonce for nonce, probe in self._probes.items() if probe.deadline <= now]
        failed = [self._probes.pop(nonce) for nonce in late]
        return [probe for probe in failed if not probe.requester]

    def postpone(self, seconds: float) -> None:
        """Move all deadlines by some seconds."""
        for probe in self._probes.values():
            probe.indirect_at += seconds
            probe.deadline += seconds
