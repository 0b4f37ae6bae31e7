"""Signed tokens in request ids, from which any router learns where a stream runs."""

from __future__ import annotations

import base64
import hashlib
import hmac
import json
import secrets as randomness

from attrs import frozen

SEPARATOR = "~"
MAC_LENGTH = 16
MAX_LENGTH = 1024
KEY_PURPOSE = b"loomyard stream token"
RANDOM_SECRET_BYTES = 32


@frozen(kw_only=True)
class StreamToken:
    """Where a stream runs: ``router`` serves it, ``number`` is that of the attempt."""

    request_id: str
    account: str
    target: str
    number: int
    router: str
    usage_asked: bool

    @property
    def attempt_id(self) -> str:
        return f"{self.request_id}.{self.number}"


class StreamTokens:
    """Sign and verify tokens; the first secret signs, a signature by any of them is accepted.

    Without a fleet secret a random one is made, so that tokens hold for this process only.
    """

    def __init__(self, secrets: tuple[str, ...]) -> None:
        known = [secret.encode() for secret in secrets]
        known = known or [randomness.token_bytes(RANDOM_SECRET_BYTES)]
        self._keys = [hmac.digest(secret, KEY_PURPOSE, hashlib.sha256) for secret in known]

    def sign(self, token: StreamToken) -> str:
        """Return the request id that carries a token."""
        fields = [token.account, token.target, token.number, token.router, token.usage_asked]
        payload = json.dumps(fields, separators=(",", ":")).encode()
        mac = _mac(self._keys[0], token.request_id, payload)
        return f"{token.request_id}{SEPARATOR}{_to_text(mac + payload)}"

    def read(self, text: str) -> StreamToken | None:
        """Return the token of a request id; ``None`` where it has none with a valid signature."""
        request_id, _, encoded = text.partition(SEPARATOR)
        if len(text) > MAX_LENGTH or not text.isascii():
            return None
        try:
            data = base64.urlsafe_b64decode(encoded + "=" * (-len(encoded) % 4))
        except ValueError:
            return None
        mac, payload = data[:MAC_LENGTH], data[MAC_LENGTH:]
        valid = [hmac.compare_digest(mac, _mac(key, request_id, payload)) for key in self._keys]
        if not any(valid):
            return None
        account, target, number, router, usage_asked = json.loads(payload)
        return StreamToken(
            request_id=request_id,
            account=account,
            target=target,
            number=number,
            router=router,
            usage_asked=usage_asked,
        )


def _mac(key: bytes, request_id: str, payload: bytes) -> bytes:
    return hmac.digest(key, request_id.encode() + b"\0" + payload, hashlib.sha256)[:MAC_LENGTH]


def _to_text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")
