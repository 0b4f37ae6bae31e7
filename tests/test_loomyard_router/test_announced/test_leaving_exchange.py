"""Tests that a target's notice to one router that it leaves reaches the others."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from test_loomyard_router.test_crashing.routers_case import RoutersCase
from test_loomyard_router.test_routed.routed_case import route
from test_loomyard_router.test_routed.scripted_target import Received, answer, plain_script

if TYPE_CHECKING:
    from loomyard_router.routed_application import RoutedApplication


class LeavingExchangeTest(RoutersCase):
    def test_routers_that_sent_the_target_nothing_or_start_later_learn_that_it_leaves(self) -> None:
        self.target("t1", lambda request, sock: sock.sendall(say_leaving(request)))
        staying = self.target("t2", plain_script)
        self.publish(route())
        self.until(lambda: all(router.ready for router in self.routers))
        number = 0
        while usable(self.router) != ["t2"]:
            self.call(Loomyard_Attempt_Id=f"{number}")
            number += 1
        self.until(lambda: all(usable(router) == ["t2"] for router in self.routers))
        # The entry in the store still says that the target is not draining.
        later = self.start_router("router-later")
        self.until(lambda: usable(later) == ["t2"])
        for router in (*self.routers, later):
            before = len(staying.received)
            self.ask(router, b"x")
            self.assertEqual(before + 1, len(staying.received))


def say_leaving(request: Received) -> bytes:
    """Return an answer with the notice that the target leaves."""
    return answer(request, extra="Server-Leaving: 1\r\n")


def usable(router: RoutedApplication) -> list[str]:
    """Return the ids of targets that a router uses."""
    return [target.id for target in router.registry.usable("plain")]


if __name__ == "__main__":
    unittest.main()
