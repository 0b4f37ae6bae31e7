"""HTTP client of the operators' interface of the routers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from geventhttpclient import HTTPClient
from result import Err, Ok, Result

from loomyard.errors import Executed, ResultCode
from loomyardctl.reply import Reply, Unanswered

if TYPE_CHECKING:
    from collections.abc import Sequence
    from ssl import SSLContext

API_PREFIX = "/operators/v1/"
CONNECT_TIMEOUT = 3.0
ANSWER_TIMEOUT = 75.0
JSON_HEADERS = {"Content-Type": "application/json"}


class OperatorsClient:
    """Client that sends each request to the first router that is reachable."""

    def __init__(
        self, urls: Sequence[str], key: str, author: str, context: SSLContext | None = None
    ) -> None:
        self._urls = list(urls)
        self._headers = {"Authorization": f"Bearer {key}", "Loomyard-Author": author}
        self._context = context

    def get(self, path: str) -> Result[Reply, Unanswered]:
        """Send a read to the routers in turn until one answers."""
        return self._try_all("GET", path, None)

    def post(self, path: str, document: Any = None) -> Result[Reply, Unanswered]:
        """Send a change; another router is tried only if the request cannot have been received."""
        return self._try_all("POST", path, document)

    def _try_all(self, method: str, path: str, document: Any) -> Result[Reply, Unanswered]:
        failures = []
        for url in list(self._urls):
            match self._request(url, method, path, document):
                case Ok(reply):
                    self._move_to_front(url)
                    return Ok(reply)
                case Err(unanswered):
                    failures.append(f"{url}: {unanswered.detail}")
                    if method != "GET" and unanswered.executed is not Executed.NO:
                        return Err(unanswered)
        detail = "; ".join(failures)
        return Err(Unanswered(detail=detail, executed=Executed.NO))

    def _move_to_front(self, url: str) -> None:
        """Try this router first from now on, so that a change goes to the router that was read."""
        self._urls.remove(url)
        self._urls.insert(0, url)

    def _request(
        self, url: str, method: str, path: str, document: Any
    ) -> Result[Reply, Unanswered]:
        connected = False
        try:
            client = self._connect(url)
            body = b"" if document is None else json.dumps(document).encode()
            response = client.request(
                method, API_PREFIX + path, body=body, headers={**JSON_HEADERS, **self._headers}
            )
            connected = True
            return Ok(_parse_reply(response.status_code, bytes(response.read())))
        except (ConnectionRefusedError, ValueError) as error:
            executed = Executed.UNKNOWN if connected else Executed.NO
            return Err(Unanswered(detail=_error_text(error), executed=executed))
        except Exception as error:  # a timeout or a reset: the request may have arrived
            return Err(Unanswered(detail=_error_text(error), executed=Executed.UNKNOWN))

    def _connect(self, url: str) -> HTTPClient:
        options: dict[str, Any] = {}
        if self._context is not None and url.startswith("https://"):
            context = self._context
            options["ssl_context_factory"] = lambda: context
        return HTTPClient.from_url(
            url,
            connection_timeout=CONNECT_TIMEOUT,
            network_timeout=ANSWER_TIMEOUT,
            **options,
        )


def _parse_reply(status: int, body: bytes) -> Reply:
    document = json.loads(body)
    code = document.get("code") if isinstance(document, dict) else None
    known = code if code in ResultCode.__members__.values() else None
    return Reply(
        status=status, document=document, code=None if known is None else ResultCode(known)
    )


def _error_text(error: Exception) -> str:
    return str(error) or type(error).__name__
