"""Tests that no connection stays open to an unresponsive peer."""

from __future__ import annotations

import socket
import unittest

from gevent.server import StreamServer

from loomyard.clock import SystemClock
from loomyard.util.tcp import (
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_INTERVAL_SECONDS,
    KEEPALIVE_PROBES,
    USER_TIMEOUT_MILLISECONDS,
    make_http_client,
)
from loomyard_router.peers.websocket_links import set_tcp_timeouts
from loomyard_router.routed.deadline_watch import DeadlineWatch
from loomyard_router.routed.target_connection import connect

# Time that users accept for recovery after a reset of all connections.
MAX_RECOVERY_SECONDS = 3.0


class TestUnresponsivePeers(unittest.TestCase):
    """A network that drops the state of a connection sends no reset; keepalive probes detect it.

    This can't be caused on the loopback interface, so the tests check the options of the sockets.
    """

    def setUp(self) -> None:
        self.server = StreamServer(("127.0.0.1", 0), lambda sock, _: sock.recv(1))
        self.server.start()
        self.addCleanup(self.server.stop)

    def assert_times_out(self, sock: socket.socket) -> None:
        """Check that unanswered probes and unacknowledged bytes close a connection in time."""
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
        self.assertEqual(USER_TIMEOUT_MILLISECONDS, options["unacknowledged"])
        timeout = options["idle"] + options["interval"] * options["probes"]
        self.assertLessEqual(timeout, MAX_RECOVERY_SECONDS)
        self.assertEqual(
            KEEPALIVE_IDLE_SECONDS + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_SECONDS, timeout
        )

    def test_connections_to_targets(self) -> None:
        clock = SystemClock()
        address = f"127.0.0.1:{self.server.server_port}"
        connection = connect(address, clock, 1.0, DeadlineWatch(clock))
        self.addCleanup(connection.close)
        self.assert_times_out(connection._socket)

    def test_connections_to_the_store(self) -> None:
        client = make_http_client("127.0.0.1", self.server.server_port, concurrency=1)
        self.addCleanup(client.close)
        sock = client._connection_pool.get_socket()
        self.addCleanup(sock.close)
        self.assert_times_out(sock)

    def test_links_between_routers(self) -> None:
        sock = socket.create_connection(("127.0.0.1", self.server.server_port))
        self.addCleanup(sock.close)
        set_tcp_timeouts(sock)
        self.assert_times_out(sock)


if __name__ == "__main__":
    unittest.main()
