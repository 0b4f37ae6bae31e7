"""Mutual TLS between routers, where the settings name certificates."""

from __future__ import annotations

import ssl

from attrs import frozen


@frozen(kw_only=True)
class PeerTls:
    """The TLS contexts of both sides; each requires a certificate of the fleet's authority."""

    server: ssl.SSLContext
    client: ssl.SSLContext


def make_peer_tls(*, certificate: str, key: str, authority: str) -> PeerTls | None:
    """Load certificate, key and authority from PEM files; ``None`` where none are named.

    Host names are not checked: the handshake of the link authenticates the name of the router.
    """
    if not certificate:
        return None
    contexts = []
    for protocol in (ssl.PROTOCOL_TLS_SERVER, ssl.PROTOCOL_TLS_CLIENT):
        context = ssl.SSLContext(protocol)
        context.check_hostname = False
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(certificate, key)
        context.load_verify_locations(authority)
        contexts.append(context)
    return PeerTls(server=contexts[0], client=contexts[1])
