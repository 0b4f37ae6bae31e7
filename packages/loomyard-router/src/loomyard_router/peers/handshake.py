"""The mutual proof of the fleet secret at the start of a link.

The opener sends ``Hello``, the acceptor answers ``Challenge`` with its proof, the opener sends
``Proof``, the acceptor ends with ``Welcome``. All proofs and session keys are HMACs over the whole
transcript, which binds them to both names, both incarnations and both nonces.
"""

from __future__ import annotations

import hmac
import secrets
from typing import TYPE_CHECKING, Protocol, TypeVar

from attrs import frozen
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.peers.compact_codec import pack, unpack
from loomyard_router.peers.fleet_secret import KEY_ID_BYTES, FleetSecret, digest

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.members.membership import Member

NONCE_BYTES = 16
SESSION = b"loomyard link 1"
OPENER = b"opener"
ACCEPTOR = b"acceptor"
WELCOME = b"welcome"
KEY_ID = b"key id"
HANDSHAKE_TIMEOUT = 3.0
T = TypeVar("T")


@frozen(kw_only=True)
class Identity:
    """Who a router says it is."""

    name: str
    incarnation: int
    address: str
    data_centre: str


@frozen(kw_only=True)
class Hello:
    """The opener names itself, the router it wants and the secrets it holds."""

    opener: Identity
    wanted: str
    nonce: bytes
    key_ids: list[bytes]


@frozen(kw_only=True)
class Challenge:
    """The acceptor names itself and proves the secret it chose."""

    acceptor: Identity
    nonce: bytes
    key_id: bytes
    proof: bytes


@frozen(kw_only=True)
class Proof:
    """The opener proves the same secret."""

    proof: bytes


@frozen(kw_only=True)
class Welcome:
    """The acceptor takes the link."""

    proof: bytes


@frozen(kw_only=True)
class Agreement:
    """The authenticated peer and a key for each direction."""

    peer: Identity
    send_key: bytes
    receive_key: bytes


class Channel(Protocol):
    """Whole frames, one after the other."""

    def send(self, message: bytes) -> None:
        """Send a frame."""

    def recv(self, timeout: float | None = None) -> bytes | str:
        """Return the next frame; raise ``TimeoutError`` or an error of the connection."""


def open_link(
    channel: Channel, own: Member, wanted: str, secret: FleetSecret
) -> Result[Agreement, Fault]:
    """Prove and demand proof as the side that opened the connection."""
    keys = {_key_id(key): key for key in secret.keys(SESSION)}
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = Hello(opener=_identity(own), wanted=wanted, nonce=nonce, key_ids=list(keys))
    channel.send(pack(hello))
    received = _receive(channel, Challenge)
    if received.is_err():
        return Err(received.unwrap_err())
    challenge = received.unwrap()
    key = keys.get(challenge.key_id)
    if key is None:
        return _refuse("the peer proves no secret of ours")
    transcript = _transcript(hello, challenge)
    if not hmac.compare_digest(challenge.proof, digest(key, ACCEPTOR, transcript)):
        return _refuse("the peer's proof is wrong")
    if challenge.acceptor.name != wanted:
        return _refuse(f"{challenge.acceptor.name!r} answers in the place of {wanted!r}")
    channel.send(pack(Proof(proof=digest(key, OPENER, transcript))))
    answer = _receive(channel, Welcome)
    if answer.is_err():
        return Err(answer.unwrap_err())
    if not hmac.compare_digest(answer.unwrap().proof, digest(key, WELCOME, transcript)):
        return _refuse("the peer's welcome is wrong")
    send_key, receive_key = _session_keys(key, transcript)
    return Ok(Agreement(peer=challenge.acceptor, send_key=send_key, receive_key=receive_key))


def accept_link(
    channel: Channel, own: Member, secret: FleetSecret, admit: Callable[[Identity], str]
) -> Result[Agreement, Fault]:
    """Prove and demand proof as the side that accepted the connection.

    ``admit`` is asked about the proven identity; it returns why it refuses, or nothing.
    """
    received = _receive(channel, Hello)
    if received.is_err():
        return Err(received.unwrap_err())
    hello = received.unwrap()
    if hello.wanted != own.name or hello.opener.name == own.name:
        return _refuse(f"{hello.opener.name!r} wants {hello.wanted!r}")
    key = next((key for key in secret.keys(SESSION) if _key_id(key) in hello.key_ids), None)
    if key is None:
        return _refuse(f"{hello.opener.name!r} holds no secret of ours")
    blank = Challenge(
        acceptor=_identity(own),
        nonce=secrets.token_bytes(NONCE_BYTES),
        key_id=_key_id(key),
        proof=b"",
    )
    transcript = _transcript(hello, blank)
    proof = digest(key, ACCEPTOR, transcript)
    challenge = Challenge(
        acceptor=blank.acceptor, nonce=blank.nonce, key_id=blank.key_id, proof=proof
    )
    channel.send(pack(challenge))
    answer = _receive(channel, Proof)
    if answer.is_err():
        return Err(answer.unwrap_err())
    if not hmac.compare_digest(answer.unwrap().proof, digest(key, OPENER, transcript)):
        return _refuse(f"the proof of {hello.opener.name!r} is wrong")
    if refusal := admit(hello.opener):
        return _refuse(refusal)
    channel.send(pack(Welcome(proof=digest(key, WELCOME, transcript))))
    receive_key, send_key = _session_keys(key, transcript)
    return Ok(Agreement(peer=hello.opener, send_key=send_key, receive_key=receive_key))


def _receive(channel: Channel, kind: type[T]) -> Result[T, Fault]:
    try:
        data = channel.recv(timeout=HANDSHAKE_TIMEOUT)
    except TimeoutError:
        return _refuse("the handshake timed out")
    if not isinstance(data, bytes):
        return _refuse("text in the handshake")
    match unpack(data, kind):
        case Ok(message):
            return Ok(message)
        case Err(detail):
            return _refuse(detail)


def _identity(member: Member) -> Identity:
    return Identity(
        name=member.name,
        incarnation=member.incarnation,
        address=member.address,
        data_centre=member.data_centre,
    )


def _transcript(hello: Hello, challenge: Challenge) -> bytes:
    parts = [pack(hello), pack(challenge.acceptor), challenge.nonce, challenge.key_id]
    return digest(b"transcript", *parts)


def _session_keys(key: bytes, transcript: bytes) -> tuple[bytes, bytes]:
    """Return the key from the opener on and the key from the acceptor on."""
    return (
        digest(key, b"from", OPENER, transcript),
        digest(key, b"from", ACCEPTOR, transcript),
    )


def _key_id(key: bytes) -> bytes:
    return digest(key, KEY_ID)[:KEY_ID_BYTES]


def _refuse(detail: str) -> Err[Fault]:
    return Err(Fault(code=ResultCode.PEER_REFUSED, detail=detail))
