"""The mutual authentication by the fleet secret at the start of a link.

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
from loomyard_router.peers.fleet_secret import KEY_ID_BYTES, FleetSecret, hmac_digest

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.members.membership import Member

NONCE_BYTES = 16
SESSION_PURPOSE = b"loomyard link 1"
OPENER = b"opener"
ACCEPTOR = b"acceptor"
WELCOME = b"welcome"
KEY_ID = b"key id"
HANDSHAKE_TIMEOUT = 3.0
T = TypeVar("T")


@frozen(kw_only=True)
class Identity:
    """The identity that a router claims."""

    name: str
    incarnation: int
    address: str
    data_centre: str


@frozen(kw_only=True)
class Hello:
    """The opener names itself, the acceptor it expects and the ids of its keys."""

    opener: Identity
    acceptor_name: str
    nonce: bytes
    key_ids: list[bytes]


@frozen(kw_only=True)
class Challenge:
    """The acceptor names itself and proves that it has the key it chose."""

    acceptor: Identity
    nonce: bytes
    key_id: bytes
    proof: bytes


@frozen(kw_only=True)
class Proof:
    """The opener proves that it has the same key."""

    proof: bytes


@frozen(kw_only=True)
class Welcome:
    """The acceptor admits the opener."""

    proof: bytes


@frozen(kw_only=True)
class LinkSession:
    """The authenticated peer and a key for each direction."""

    peer: Identity
    send_key: bytes
    receive_key: bytes


class Channel(Protocol):
    """A connection that carries whole frames in order."""

    def send(self, message: bytes) -> None:
        """Send a frame."""

    def recv(self, timeout: float | None = None) -> bytes | str:
        """Return the next frame; raise ``TimeoutError`` or an error of the connection."""


def open_link(
    channel: Channel, own: Member, acceptor_name: str, secret: FleetSecret
) -> Result[LinkSession, Fault]:
    """Authenticate both sides, as the one that opened the connection."""
    keys = {_key_id(key): key for key in secret.keys(SESSION_PURPOSE)}
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = Hello(
        opener=_identity(own), acceptor_name=acceptor_name, nonce=nonce, key_ids=list(keys)
    )
    channel.send(pack(hello))
    received = _receive(channel, Challenge)
    if received.is_err():
        return Err(received.unwrap_err())
    challenge = received.unwrap()
    key = keys.get(challenge.key_id)
    if key is None:
        return _refuse("the peer chose a key that this router does not have")
    transcript = _transcript(hello, challenge)
    if not hmac.compare_digest(challenge.proof, hmac_digest(key, ACCEPTOR, transcript)):
        return _refuse("the peer's proof is wrong")
    if challenge.acceptor.name != acceptor_name:
        return _refuse(f"{challenge.acceptor.name!r} answered in place of {acceptor_name!r}")
    channel.send(pack(Proof(proof=hmac_digest(key, OPENER, transcript))))
    answer = _receive(channel, Welcome)
    if answer.is_err():
        return Err(answer.unwrap_err())
    if not hmac.compare_digest(answer.unwrap().proof, hmac_digest(key, WELCOME, transcript)):
        return _refuse("the peer's welcome is wrong")
    send_key, receive_key = _session_keys(key, transcript)
    return Ok(LinkSession(peer=challenge.acceptor, send_key=send_key, receive_key=receive_key))


def accept_link(
    channel: Channel, own: Member, secret: FleetSecret, admit: Callable[[Identity], str]
) -> Result[LinkSession, Fault]:
    """Authenticate both sides, as the one that accepted the connection.

    ``admit`` is called with the opener's proven identity; it returns why the opener is refused, or
    an empty string.
    """
    received = _receive(channel, Hello)
    if received.is_err():
        return Err(received.unwrap_err())
    hello = received.unwrap()
    if hello.acceptor_name != own.name or hello.opener.name == own.name:
        return _refuse(f"{hello.opener.name!r} expects to reach {hello.acceptor_name!r}")
    key = next((key for key in secret.keys(SESSION_PURPOSE) if _key_id(key) in hello.key_ids), None)
    if key is None:
        return _refuse(f"{hello.opener.name!r} has no key in common with this router")
    unproven = Challenge(
        acceptor=_identity(own),
        nonce=secrets.token_bytes(NONCE_BYTES),
        key_id=_key_id(key),
        proof=b"",
    )
    transcript = _transcript(hello, unproven)
    proof = hmac_digest(key, ACCEPTOR, transcript)
    challenge = Challenge(
        acceptor=unproven.acceptor, nonce=unproven.nonce, key_id=unproven.key_id, proof=proof
    )
    channel.send(pack(challenge))
    answer = _receive(channel, Proof)
    if answer.is_err():
        return Err(answer.unwrap_err())
    if not hmac.compare_digest(answer.unwrap().proof, hmac_digest(key, OPENER, transcript)):
        return _refuse(f"the proof of {hello.opener.name!r} is wrong")
    if refusal := admit(hello.opener):
        return _refuse(refusal)
    channel.send(pack(Welcome(proof=hmac_digest(key, WELCOME, transcript))))
    receive_key, send_key = _session_keys(key, transcript)
    return Ok(LinkSession(peer=hello.opener, send_key=send_key, receive_key=receive_key))


def _receive(channel: Channel, kind: type[T]) -> Result[T, Fault]:
    try:
        data = channel.recv(timeout=HANDSHAKE_TIMEOUT)
    except TimeoutError:
        return _refuse("the handshake timed out")
    if not isinstance(data, bytes):
        return _refuse("a text frame in the handshake")
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
    return hmac_digest(b"transcript", *parts)


def _session_keys(key: bytes, transcript: bytes) -> tuple[bytes, bytes]:
    """Return the keys of the frames from the opener and of those from the acceptor."""
    return (
        hmac_digest(key, b"from", OPENER, transcript),
        hmac_digest(key, b"from", ACCEPTOR, transcript),
    )


def _key_id(key: bytes) -> bytes:
    return hmac_digest(key, KEY_ID)[:KEY_ID_BYTES]


def _refuse(detail: str) -> Err[Fault]:
    return Err(Fault(code=ResultCode.PEER_REFUSED, detail=detail))
