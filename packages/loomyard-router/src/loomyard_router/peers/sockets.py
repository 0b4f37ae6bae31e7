"""The sockets of a router's peer address: TCP for links and UDP for datagrams, one port."""

from __future__ import annotations

import socket

from attrs import frozen

from loomyard.util.addresses import split_address

BIND_ATTEMPTS = 20
BACKLOG = 256


@frozen(kw_only=True)
class PeerSockets:
    """The two sockets and the address to which both are bound."""

    stream: socket.socket
    datagram: socket.socket
    address: str

    def close(self) -> None:
        """Close both sockets."""
        self.stream.close()
        self.datagram.close()


def bind_stream(host: str, port: int) -> socket.socket:
    """Bind a socket that does not listen yet; connections in TIME_WAIT are no obstacle."""
    stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        stream.bind((host, port))
    except BaseException:
        stream.close()
        raise
    return stream


def bind_peer_sockets(listen: str, *, listening: bool = True) -> PeerSockets:
    """Bind both sockets to ``host:port``; port 0 chooses a port that is free for both."""
    host, port = split_address(listen)
    attempts = 1 if port else BIND_ATTEMPTS
    for attempt in range(attempts):
        stream = bind_stream(host, port)
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound = stream.getsockname()[1]
        try:
            datagram.bind((host, bound))
            if listening:
                stream.listen(BACKLOG)
        except OSError:
            stream.close()
            datagram.close()
            if attempt + 1 == attempts:
                raise
            continue
        return PeerSockets(stream=stream, datagram=datagram, address=f"{host}:{bound}")
    raise AssertionError("unreachable")
