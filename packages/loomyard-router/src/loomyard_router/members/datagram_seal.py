"""Authentication of datagrams by an HMAC bound to the receiver, and replay protection."""

from __future__ import annotations

from attrs import define, field
from result import Err, Ok, Result

from loomyard.clock import Clock
from loomyard.errors import Fault, ResultCode
from loomyard_router.members.messages import Datagram
from loomyard_router.peers.compact_codec import pack, unpack
from loomyard_router.peers.fleet_secret import MAC_BYTES, FleetSecret, is_valid_mac, truncated_hmac

PURPOSE = b"loomyard datagram 1"
WINDOW = 64
MAX_SENDERS = 4096
EXPIRY_SECONDS = 3600.0


@define(eq=False)
class _Window:
    incarnation: int
    highest: int
    seen: int
    used_at: float


@define(eq=False)
class ReplayWindow:
    """Reject sequence numbers of a sender that were seen; they may arrive out of order.

    For each sender the last ``WINDOW`` numbers are tracked.
    """

    clock: Clock
    _windows: dict[str, _Window] = field(factory=dict)

    def accept(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Record a number; false where it was seen, is too old or is of an old incarnation."""
        now = self.clock.now()
        window = self._windows.get(sender)
        if window is None or incarnation > window.incarnation:
            self._make_room(now)
            self._windows[sender] = _Window(incarnation, sequence, 1, now)
            return True
        if incarnation < window.incarnation:
            return False
        return _accept(window, sequence, now)

    def _make_room(self, now: float) -> None:
        if len(self._windows) < MAX_SENDERS:
            return
        for name, window in list(self._windows.items()):
            if window.used_at < now - EXPIRY_SECONDS:
                del self._windows[name]


def _accept(window: _Window, sequence: int, now: float) -> bool:
    ahead = sequence - window.highest
    if ahead > 0:
        mask = (1 << WINDOW) - 1
        window.seen = ((window.seen << ahead) | 1) & mask if ahead < WINDOW else 1
        window.highest = sequence
    else:
        bit = 1 << -ahead if -ahead < WINDOW else 0
        if not bit or window.seen & bit:
            return False
        window.seen |= bit
    window.used_at = now
    return True


class DatagramSeal:
    """Seal datagrams for their receiver, and verify and decode those that are received."""

    def __init__(self, secret: FleetSecret, clock: Clock) -> None:
        self._keys = secret.keys(PURPOSE)
        self._window = ReplayWindow(clock)

    def seal(self, datagram: Datagram, address: str) -> bytes:
        """Encode a datagram that only the router at an address accepts."""
        body = pack(datagram)
        return truncated_hmac(self._keys[0], address.encode(), body) + body

    def open(self, data: bytes, own_address: str) -> Result[Datagram, Fault]:
        """Verify and decode a datagram; errors ``PEER_REFUSED`` and ``MESSAGE_INVALID``."""
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not any(is_valid_mac(key, mac, own_address.encode(), body) for key in self._keys):
            return _refuse("a wrong key or a datagram for another router")
        match unpack(body, Datagram):
            case Ok(datagram):
                pass
            case Err(detail):
                return Err(Fault(code=ResultCode.MESSAGE_INVALID, detail=detail))
        if not self._window.accept(datagram.sender, datagram.incarnation, datagram.sequence):
            return _refuse(f"a replay or an old incarnation of {datagram.sender}")
        return Ok(datagram)


def _refuse(detail: str) -> Err[Fault]:
    return Err(Fault(code=ResultCode.PEER_REFUSED, detail=detail))
