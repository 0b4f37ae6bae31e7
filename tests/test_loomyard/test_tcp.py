"""Tests that no connection stays open to a peer that fell silent."""

from __future__ import annotations

import socket
import unittest

from gevent.server import StreamServer

from loomyard.clock import SystemClock
from loomyard.util.tcp import (
    MOST_PROBES,
    MOST_SILENT_MILLISECONDS,
    PROBE_AFTER_SECONDS,
    PROBE_EVERY_SECONDS,
    make_http_client,
)
from loomyard_router.peers.websocket_links import set_tcp_timeouts
from loomyard_router.routed.deadline_watch import DeadlineWatch
from loomyard_router.routed.target_connection import connect

# What is excused after the reset of all connections, by the users' bounds.
CONTACT_SECONDS = 3.0


class TestSilentPeers(unittest.TestCase):
    """A network that forgets a connection sends no reset; only probes of our own show it.

    Loopback can't forget, so these look at what the kernel was told.
    """

    def setUp(self) -> None:
        self.server = StreamServer(("127.0.0.1", 0), lambda sock, _: sock.recv(1))
        self.server.start()
        self.addCleanup(self.server.stop)

    def assert_ends(self, sock: socket.socket) -> None:
        """Check that unanswered probes and unacknowledged bytes end a connection in time."""
        options = {
            name: sock.getsockopt(socket.IPPROTO_TCP, number)
            for name, number in (
                ("unacknowledged", socket.TCP_USER_TIMEOUT),
                ("idle", socket.TCP_KEEPIDLE),
                ("interval", socket.TCP_KEEPINTVL),
                ("probes", socket.TCP_KEEPCNT),
            )
        }
        self.assertEqual(1, sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        self.assertEqual(MOST_SILENT_MILLISECONDS, options["unacknowledged"])
        silent = options["idle"] + options["interval"] * options["probes"]
        self.assertLessEqual(silent, CONTACT_SECONDS)
        self.assertEqual(PROBE_AFTER_SECONDS + MOST_PROBES * PROBE_EVERY_SECONDS, silent)

    def test_connections_to_targets(self) -> None:
        clock = SystemClock()
        address = f"127.0.0.1:{self.server.server_port}"
        connection = connect(address, clock, 1.0, DeadlineWatch(clock))
        self.addCleanup(connection.close)
        self.assert_ends(connection._socket)

    def test_connections_to_the_store(self) -> None:
        client = make_http_client("127.0.0.1", self.server.server_port, concurrency=1)
        self.addCleanup(client.close)
        sock = client._connection_pool.get_socket()
        self.addCleanup(sock.close)
        self.assert_ends(sock)

    def test_links_between_routers(self) -> None:
        sock = socket.create_connection(("127.0.0.1", self.server.server_port))
        self.addCleanup(sock.close)
        set_tcp_timeouts(sock)
        self.assert_ends(sock)


if __name__ == "__main__":
    unittest.main()
