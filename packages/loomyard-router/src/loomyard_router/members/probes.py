"""Pings that wait for their answer."""

from __future__ import annotations

from attrs import define, field

NEVER = float("inf")


@define(eq=False, kw_only=True)
class Probe:
    """A ping; ``indirect_at`` is when others are asked to ping, ``deadline`` when it failed.

    With ``requester`` the ping is for another router, under that router's nonce.
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
    """Probes by nonce."""

    _probes: dict[int, Probe] = field(factory=dict)
    _nonce: int = 0

    def __len__(self) -> int:
        return len(self._probes)

    def add(self, probe: Probe) -> int:
        """Keep a probe and return its nonce."""
        self._nonce += 1
        self._probes[self._nonce] = probe
        return self._nonce

    def take(self, nonce: int) -> Probe | None:
        """Return an answered probe, which ends."""
        return self._probes.pop(nonce, None)

    def checks(self, name: str) -> bool:
        """Tell whether a router is being probed."""
        return any(probe.name == name and not probe.requester for probe in self._probes.values())

    def due_indirect(self, now: float) -> list[tuple[int, Probe]]:
        """Return each probe once when others shall be asked."""
        due = [(nonce, probe) for nonce, probe in self._probes.items() if probe.indirect_at <= now]
        for _, probe in due:
            probe.indirect_at = NEVER
        return due

    def take_failed(self, now: float) -> list[Probe]:
        """Return the own probes without an answer in time, which end."""
        late = [nonce for nonce, probe in self._probes.items() if probe.deadline <= now]
        failed = [self._probes.pop(nonce) for nonce in late]
        return [probe for probe in failed if not probe.requester]

    def postpone(self, seconds: float) -> None:
        """Move all deadlines."""
        for probe in self._probes.values():
            probe.indirect_at += seconds
            probe.deadline += seconds
