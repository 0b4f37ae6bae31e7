"""Probe routers for readiness, service and the configuration version in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geventhttpclient import HTTPClient

from loomyard_standins.programs.documents import READY_PORT
from loomyard_standins.programs.soak_protocol import (
    HOST,
    HTTP_OK,
    IDEMPOTENT,
    PATHS,
    PROBE_HOST,
    probe_path,
    request_headers,
)

if TYPE_CHECKING:
    from loomyard_standins.programs.invariant_checker import InvariantChecker
    from loomyard_standins.programs.program_fleet import Router

PROBE_TIMEOUT_SECONDS = 5.0
NO_RESPONSE = 0
# Statuses of a router without a configuration or without a target for the route.
INCONCLUSIVE = (NO_RESPONSE, 502, 503, 504)
HTTP_NOT_FOUND = 404


class RouterProbe:
    """Send probe requests to routers and record each with the invariant checker."""

    def __init__(self, checker: InvariantChecker) -> None:
        self._checker = checker
        self._sent_count = 0

    def is_ready(self, router: Router) -> bool:
        """Return whether the readiness check of a router succeeds."""
        client = _connect(f"{router.host}:{READY_PORT}")
        try:
            return client.get("/readyz").status_code == HTTP_OK
        except Exception:  # the client raises many types on a broken connection
            return False
        finally:
            client.close()

    def serves(self, address: str, kind: str, body: bytes) -> bool:
        """Return whether a router answers a request of a kind with status 200."""
        return self._ask(address, HOST, f"{PATHS[kind]}x", kind, body) == HTTP_OK

    def serves_version(self, address: str, version: int) -> bool:
        """Return whether a router routes by that version of the configuration or a newer one."""
        status = self._ask(address, PROBE_HOST, probe_path(version), IDEMPOTENT, b"")
        return status not in (*INCONCLUSIVE, HTTP_NOT_FOUND)

    def _ask(self, address: str, host: str, path: str, kind: str, body: bytes) -> int:
        self._sent_count += 1
        attempt_id = f"asked-{self._sent_count}-{kind}-{address}"
        self._checker.record_sent(attempt_id, kind)
        client = _connect(address)
        try:
            headers = request_headers(attempt_id, PROBE_TIMEOUT_SECONDS) | {"Host": host}
            return int(client.post(path, body=body, headers=headers).status_code)
        except Exception:  # the client raises many types on a broken connection
            return NO_RESPONSE
        finally:
            client.close()


def _connect(address: str) -> HTTPClient:
    return HTTPClient.from_url(
        f"http://{address}",
        connection_timeout=PROBE_TIMEOUT_SECONDS,
        network_timeout=PROBE_TIMEOUT_SECONDS,
    )
