"""Which routers that keep places do not answer, and when they do again."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import gevent
from attrs import frozen

from loomyard.events import Event, emit
from loomyard_router.peers.message_types import peer_message

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

logger = logging.getLogger(__name__)

# Two ways between data centres and a turn of the other router's loop take a few milliseconds.
REPLY_SECONDS = 0.06
PROBE_SECONDS = 0.5
# Where more than this part of the others is silent, it is the links of this router that fail.
MOST_SILENT_PART = 0.5
# A router that heard another one within this time is not cut off.
HEARD_SECONDS = 1.0
# As many others are asked before a router takes itself for cut off.
MOST_ASKED = 2


@peer_message("kp")
@frozen
class KeeperProbe:
    """Ask whether a router that keeps places answers again; answered by ``KeeperReady``."""


@peer_message("kr")
@frozen
class KeeperReady:
    """It does."""


class KeeperWatch:
    """Leave silent keepers alone until they answer a probe, or membership takes them for dead.

    Membership takes some seconds to judge a router of a large fleet. Meanwhile the next one in the
    rank of a target is the standby of its keeper, as it will keep the target once the keeper is
    taken for dead. A router that hears nobody else either uses no standby: that would count the
    requests of this router alone.
    """

    def __init__(self, *, clock: Clock, members: Membership, peers: PeerLinks) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._probes: dict[str, gevent.Greenlet] = {}
        self._listeners: list[Callable[[], None]] = []
        self._heard_at = -math.inf
        self._is_cut_off = False
        peers.handle(KeeperProbe, self._answer)

    @property
    def silent(self) -> frozenset[str]:
        """Return the routers that do not answer."""
        return frozenset(self._probes)

    def is_silent(self, keeper: str) -> bool:
        """Tell whether a router does not answer."""
        return keeper in self._probes

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back after each change of who is silent; the call must not wait."""
        self._listeners.append(changed)

    def candidates(self) -> list[str]:
        """Return the routers that may keep places: all where this router can't judge others."""
        live = [member.name for member in self._members.live()]
        answering = [name for name in live if name not in self._probes]
        if self._is_cut_off or len(answering) < MOST_SILENT_PART * len(live):
            return live
        return answering

    def note_heard(self) -> None:
        """Take in that another router answered."""
        self._heard_at = self._clock.now()
        if self._is_cut_off:
            self._is_cut_off = False
            self._tell()

    def note_silence(self, keeper: str, detail: str) -> None:
        """Take in that a keeper did not answer in time."""
        if keeper in self._probes:
            return
        self._probes[keeper] = gevent.spawn(self._probe, keeper)
        self._is_cut_off = not self._hears_another()
        emit(
            logger,
            Event.KEEPER_SILENT,
            keeper=keeper,
            detail=detail,
            silent=len(self._probes),
            cut_off=self._is_cut_off,
        )
        self._tell()

    def stop(self) -> None:
        """End."""
        gevent.killall(list(self._probes.values()), block=False)

    def _probe(self, keeper: str) -> None:
        while any(member.name == keeper for member in self._members.live()):
            self._clock.sleep(PROBE_SECONDS)
            if self._answers(keeper):
                emit(logger, Event.KEEPER_ANSWERS, keeper=keeper)
                break
        del self._probes[keeper]
        self._tell()

    def _hears_another(self) -> bool:
        if self._clock.now() - self._heard_at < HEARD_SECONDS:
            return True
        own = self._members.own.name
        live = (member.name for member in self._members.live())
        others = [name for name in live if name != own and name not in self._probes]
        return any(self._answers(name) for name in others[:MOST_ASKED])

    def _answers(self, name: str) -> bool:
        deadline = self._clock.now() + REPLY_SECONDS
        if self._peers.request(name, KeeperProbe(), deadline).is_err():
            return False
        self.note_heard()
        return True

    def _answer(self, member: Member, probe: KeeperProbe) -> KeeperReady:
        return KeeperReady()

    def _tell(self) -> None:
        for changed in self._listeners:
            changed()
