"""Test case with targets that answer before they have read an upload."""

from __future__ import annotations

import http.client

from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_routed.early_target import EarlyScript, EarlyTarget
from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route

UPLOAD = b"u" * (3 << 20)
# The kernel of the router holds it whole.
SHORT_UPLOAD = UPLOAD[:300_000]
PART = b"a part of the body"
EVENTS = "Content-Type: text/event-stream\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
# From the answer to the end of its connection, in seconds.
DELAYS = (0.0, 0.02, 0.3)


class BrokenUploadsCase(RoutedCase):
    """A router, and a target that answers by a script while it has read the head alone."""

    def serve(self, script: EarlyScript) -> None:
        """Start a target in place of the one before, and routes to it."""
        number = len(self.objects)
        name = f"s{number}"
        target = EarlyTarget(f"t{number}", name, script)
        target.start()
        self.addCleanup(target.stop)
        self.announce(target.announced())
        self.publish(
            route("/n/", service=name, max_attempts=1),
            route("/s/", service=name, kind=RouteKind.STREAM, max_attempts=1),
            version=number + 1,
            services=[],
        )

    def upload(self, path: str, body: bytes) -> tuple[int, bytes] | None:
        """Send an upload; return the status and body of a whole answer, ``None`` of another."""
        sock = self.connect()
        sock.sendall(request_bytes(path, body=body))
        response = http.client.HTTPResponse(sock, method="POST")
        try:
            response.begin()
            return response.status, response.read()
        except (http.client.HTTPException, ConnectionError):
            return None
        finally:
            sock.close()
