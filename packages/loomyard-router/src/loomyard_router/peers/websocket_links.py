"""Links to other routers over websockets, opened on demand."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, TypeVar

from gevent.event import Event as GeventEvent
from gevent.lock import BoundedSemaphore
from result import Err, Ok, Result
from websockets.exceptions import WebSocketException

from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard.util.tcp import disable_nagle, set_keepalive
from loomyard_router.members.membership import Member, MemberState
from loomyard_router.memory.shortages import note_shortage
from loomyard_router.peers.acceptor import Acceptor, library_logger
from loomyard_router.peers.channel import WebSocketChannel, connect_channel
from loomyard_router.peers.frames import MAX_FRAME_BYTES
from loomyard_router.peers.handshake import accept_link, open_link
from loomyard_router.peers.link import PeerLink
from loomyard_router.peers.link_table import LinkTable
from loomyard_router.peers.message_types import name_of, register_message
from loomyard_router.peers.pending import PendingMessages
from loomyard_router.supervision.tasks import start_supervised, start_task

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    import gevent

    from loomyard.clock import Clock
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.fleet_secret import FleetSecret
    from loomyard_router.peers.handshake import Identity, LinkSession
    from loomyard_router.peers.tls import PeerTls
    from loomyard_router.peers.traffic import TrafficCounters

logger = logging.getLogger(__name__)
CONNECT_TIMEOUT = 1.0
# Seconds after a failed attempt to connect in which messages to the peer are dropped.
RETRY_SECONDS = 0.25
IDLE_SECONDS = 60.0
IDLE_CHECK_INTERVAL = 5.0
# Handshakes of accepted connections at a time; further connections are closed.
MAX_HANDSHAKES = 64
M = TypeVar("M")


class WebSocketLinks:
    """The ``PeerLinks`` of a router; idle links are closed, so the mesh stays sparse."""

    def __init__(
        self,
        *,
        members: Membership,
        secret: FleetSecret,
        listener: socket.socket,
        clock: Clock,
        traffic: TrafficCounters,
        tls: PeerTls | None = None,
    ) -> None:
        self.traffic = traffic
        self._members = members
        self._secret = secret
        self._clock = clock
        self._tls = tls
        self._handlers: dict[type, Callable[[Member, Any], Any]] = {}
        self._links = LinkTable()
        self._pending = PendingMessages(traffic)
        self._opening: dict[str, GeventEvent] = {}
        self._retry_at: dict[str, float] = {}
        self._handshakes = BoundedSemaphore(MAX_HANDSHAKES)
        self._acceptor = Acceptor(listener, self._accept, tls.server if tls else None)
        self._idle_closer: gevent.Greenlet | None = None

    def send(self, to: str, message: Any) -> bool:
        """Queue a message, up to ``MAX_PENDING`` for each peer while its link is being opened."""
        link = self._links.find(to)
        if link is not None:
            return link.send(message)
        if self._start_opening(to) is None:
            self.traffic.record_dropped(name_of(type(message)))
            return False
        return self._pending.add(to, message)

    def request(
        self, to: str, message: Any, deadline: float, *, urgent: bool = False
    ) -> Result[Any, Fault]:
        """Send a request and wait for the answer, opening a link where there is none."""
        link = self._links.find(to) or self._await_link(to, deadline)
        if link is None:
            return Err(Fault(code=ResultCode.PEER_UNREACHABLE, detail=f"no link to {to}"))
        outcome = link.request(message, deadline, urgent=urgent)
        if outcome.is_err():
            self._members.suspect(to)
        return outcome

    def handle(self, kind: type[M], handler: Callable[[Member, M], Any]) -> None:
        register_message(kind)
        self._handlers[kind] = handler

    def start(self) -> None:
        """Start to accept links and to close idle ones."""
        self._members.subscribe(self._close_dead_links)
        self._acceptor.start()
        self._idle_closer = start_supervised("peer links", self._clock, self._close_idle_links)

    def stop(self) -> None:
        """Close all links at once."""
        self._acceptor.stop()
        if self._idle_closer is not None:
            self._idle_closer.kill()
        for link in self._links.all():
            link.close()

    def _start_opening(self, to: str) -> GeventEvent | None:
        """Open a link in a task of its own; ``None`` where no attempt is allowed now."""
        if to in self._opening:
            return self._opening[to]
        member = self._members.find(to)
        if member is None or member.state is MemberState.DEAD or to == self._members.own.name:
            return None
        if self._clock.now() < self._retry_at.get(to, 0.0):
            return None
        opened = GeventEvent()
        self._opening[to] = opened
        start_task("peer links", self._open, member, opened)
        return opened

    def _await_link(self, to: str, deadline: float) -> PeerLink | None:
        opened = self._start_opening(to)
        if opened is None:
            return None
        opened.wait(max(0.0, deadline - self._clock.now()))
        return self._links.find(to)

    def _open(self, member: Member, opened: GeventEvent) -> None:
        link = None
        try:
            link = self._connect(member)
        except (OSError, WebSocketException, TimeoutError, EOFError, MemoryError) as error:
            note_shortage(error)
            self._record_failure(member, str(error) or type(error).__name__)
        finally:
            self._opening.pop(member.name, None)
            self._pending.flush(member.name, link)
            opened.set()
        if link is not None:
            self._serve_link(link)

    def _connect(self, member: Member) -> PeerLink | None:
        channel = connect_channel(
            member.address,
            context=self._tls.client if self._tls else None,
            timeout=CONNECT_TIMEOUT,
            max_bytes=MAX_FRAME_BYTES,
            logger=library_logger,
        )
        try:
            outcome = open_link(channel, self._members.own, member.name, self._secret)
        except BaseException:
            channel.close_socket()
            raise
        return self._register_link(channel, outcome, member.address, own=True)

    def _accept(self, channel: WebSocketChannel) -> None:
        if not self._handshakes.acquire(blocking=False):
            return

        def admit(peer: Identity) -> str:
            channel.set_max_frame_bytes(MAX_FRAME_BYTES)
            return self._refusal_reason(peer)

        try:
            outcome = accept_link(channel, self._members.own, self._secret, admit)
        except (OSError, WebSocketException, EOFError):
            return
        finally:
            self._handshakes.release()
        link = self._register_link(channel, outcome, channel.remote_address, own=False)
        if link is not None:
            self._serve_link(link)

    def _refusal_reason(self, peer: Identity) -> str:
        known = self._members.find(peer.name)
        if known is not None and known.incarnation > peer.incarnation:
            return f"an old incarnation of {peer.name}"
        return ""

    def _register_link(
        self,
        channel: WebSocketChannel,
        outcome: Result[LinkSession, Fault],
        address: str,
        *,
        own: bool,
    ) -> PeerLink | None:
        match outcome:
            case Ok(session):
                pass
            case Err(fault):
                emit(logger, Event.PEER_REFUSED, address=address, detail=fault.detail)
                self.traffic.record_refused("handshake")
                channel.close_socket()
                return None
        set_tcp_timeouts(channel.socket)
        peer = _make_member(session.peer)
        link = PeerLink(
            channel=channel,
            session=session,
            peer=peer,
            clock=self._clock,
            traffic=self.traffic,
            deliver=self._deliver,
            opener=self._members.own.name if own else peer.name,
        )
        self._links.add(link)
        self._retry_at.pop(peer.name, None)
        return link

    def _serve_link(self, link: PeerLink) -> None:
        name = link.peer.name
        try:
            link.run()
        finally:
            self._links.remove(link)
        if not link.closed_here:
            # A lost link is the first sign of a router that died.
            self._members.suspect(name)

    def _deliver(self, sender: Member, message: Any) -> Any:
        return self._handlers[type(message)](sender, message)

    def _record_failure(self, member: Member, detail: str) -> None:
        self._retry_at[member.name] = self._clock.now() + RETRY_SECONDS
        emit(logger, Event.PEER_UNREACHABLE, peer=member.name, detail=detail)
        self._members.suspect(member.name)

    def _close_dead_links(self) -> None:
        for link in self._links.all():
            member = self._members.find(link.peer.name)
            if member is None:
                continue
            replaced = member.incarnation > link.peer.incarnation
            if replaced or member.state is MemberState.DEAD:
                link.close()

    def _close_idle_links(self) -> None:
        while True:
            self._clock.sleep(IDLE_CHECK_INTERVAL)
            now = self._clock.now()
            idle_before = now - IDLE_SECONDS
            self._retry_at = {name: at for name, at in self._retry_at.items() if at > now}
            for link in self._links.all():
                if link.idle and link.used_at < idle_before:
                    link.close()


def _make_member(peer: Identity) -> Member:
    return Member(
        name=peer.name,
        incarnation=peer.incarnation,
        address=peer.address,
        data_centre=peer.data_centre,
    )


def set_tcp_timeouts(connection: socket.socket) -> None:
    """Let the kernel end a connection whose peer stops responding, and disable Nagle's delay."""
    disable_nagle(connection)
    set_keepalive(connection)
