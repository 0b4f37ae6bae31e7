"""What a run asks routers itself, beside the callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geventhttpclient import HTTPClient

from loomyard_standins.programs.documents import READY_PORT
from loomyard_standins.programs.words import (
    HOST,
    HTTP_OK,
    PATHS,
    PROBE_HOST,
    REPEATABLE,
    probe_path,
    request_headers,
)

if TYPE_CHECKING:
    from loomyard_standins.programs.program_fleet import Router
    from loomyard_standins.programs.promises import Promises

ASK_SECONDS = 5.0
NO_ANSWER = 0
# A router that knows no configuration, or has no target for a route, refuses.
UNDECIDED = (NO_ANSWER, 502, 503, 504)
HTTP_NOT_FOUND = 404


class RouterQuestions:
    """Ask routers whether they serve; each request is told to the promises."""

    def __init__(self, promises: Promises) -> None:
        self._promises = promises
        self._asked = 0

    def is_ready(self, router: Router) -> bool:
        """Tell whether a router says that it is ready."""
        client = _connect(f"{router.host}:{READY_PORT}")
        try:
            return client.get("/readyz").status_code == HTTP_OK
        except Exception:  # the client raises many types on a broken connection
            return False
        finally:
            client.close()

    def serves(self, address: str, kind: str, body: bytes) -> bool:
        """Tell whether a router serves a kind of request."""
        return self._ask(address, HOST, f"{PATHS[kind]}x", kind, body) == HTTP_OK

    def knows(self, address: str, version: int) -> bool:
        """Tell whether a router has a version of the configuration in force."""
        status = self._ask(address, PROBE_HOST, probe_path(version), REPEATABLE, b"")
        return status not in (*UNDECIDED, HTTP_NOT_FOUND)

    def _ask(self, address: str, host: str, path: str, kind: str, body: bytes) -> int:
        self._asked += 1
        attempt_id = f"asked-{self._asked}-{kind}-{address}"
        self._promises.note_sent(attempt_id, kind)
        client = _connect(address)
        try:
            headers = request_headers(attempt_id, ASK_SECONDS) | {"Host": host}
            return int(client.post(path, body=body, headers=headers).status_code)
        except Exception:  # the client raises many types on a broken connection
            return NO_ANSWER
        finally:
            client.close()


def _connect(address: str) -> HTTPClient:
    return HTTPClient.from_url(
        f"http://{address}", connection_timeout=ASK_SECONDS, network_timeout=ASK_SECONDS
    )
