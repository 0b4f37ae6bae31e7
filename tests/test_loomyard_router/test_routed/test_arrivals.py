"""Tests of decisions on connections as they are accepted, while the router lags."""

from __future__ import annotations

import gevent

from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import plain_script


class LaggingRouterTest(RoutedCase):
    """A router whose event loop lags so much that it refuses."""

    def setUp(self) -> None:
        super().setUp()
        self.target_ = self.target("t1", plain_script)
        self.publish(route())
        self.tasks = 0
        self.router._listener.early_refusal._overloaded = lambda: True
        self.router.app._overloaded = lambda: True
        pool = self.router._listener.pool
        add = pool.add

        def count(task: gevent.Greenlet) -> None:
            self.tasks += 1
            add(task)

        pool.add = count

    # Guards against refusals that wait behind all ready tasks, and make the router lag further.
    def test_a_refusal_waits_for_no_task(self) -> None:
        for _ in range(5):
            response = self.call()
            self.assertEqual(503, response.status)
            self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertEqual((0, []), (self.tasks, self.target_.received))

    def test_a_refused_request_whose_body_comes_later_gets_the_whole_refusal(self) -> None:
        data = request_bytes("/p/x", body=b"x" * 200_000)
        sock = self.connect()
        sock.sendall(data[:2000])
        gevent.sleep(0.02)
        sock.sendall(data[2000:])
        received = b""
        while block := sock.recv(65536):
            received += block
        self.assertTrue(received.startswith(b"HTTP/1.1 503"))
        self.assertEqual(0, self.tasks)

    def test_a_request_whose_head_comes_later_is_refused_without_a_task(self) -> None:
        sock = self.connect()
        gevent.sleep(0.02)
        self.assertEqual(503, self.call(sock=sock).status)
        self.assertEqual(0, self.tasks)

    def test_a_connection_without_a_request_gets_a_task_and_is_closed_at_its_limit(self) -> None:
        sock = self.connect()
        self.until(lambda: self.tasks == 1)
        self.until(lambda: self.router._listener.idle_tasks)
        self.router._listener.close_idle()
        self.assertEqual(b"", sock.recv(1))

    def test_closed_connections_are_counted_as_closed(self) -> None:
        for _ in range(3):
            self.call()
        self.connect().close()
        self.until(lambda: self.router._listener._open_count == 0)

    # Guards against a planned stop that drops what was accepted just before it.
    def test_a_connection_accepted_before_the_listener_closed_is_answered(self) -> None:
        sock = self.connect()
        self.until(lambda: self.router._listener._open_count == 1)
        self.router._listener.early_refusal._overloaded = lambda: False
        self.router.app._overloaded = lambda: False
        self.router._listener.close_listener()
        self.assertEqual(200, self.call(sock=sock).status)
