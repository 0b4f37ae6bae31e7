"""The operators' interface of the routers, over HTTP."""

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

PREFIX = "/operators/v1/"
CONNECT_TIMEOUT = 3.0
ANSWER_TIMEOUT = 75.0
JSON_HEADERS = {"Content-Type": "application/json"}


class OperatorsClient:
    """Ask the first router that can be reached."""

    def __init__(
        self, urls: Sequence[str], key: str, author: str, context: SSLContext | None = None
    ) -> None:
        self._urls = list(urls)
        self._headers = {"Authorization": f"Bearer {key}", "Loomyard-Author": author}
        self._context = context

    def get(self, path: str) -> Result[Reply, Unanswered]:
        """Read from any router."""
        return self._try_all("GET", path, None)

    def post(self, path: str, document: Any = None) -> Result[Reply, Unanswered]:
        """Send to one router; another is tried only while none was connected."""
        return self._try_all("POST", path, document)

    def _try_all(self, method: str, path: str, document: Any) -> Result[Reply, Unanswered]:
        failures = []
        for url in list(self._urls):
            match self._request(url, method, path, document):
                case Ok(reply):
                    self._prefer(url)
                    return Ok(reply)
                case Err(unanswered):
                    failures.append(f"{url}: {unanswered.detail}")
                    if method != "GET" and unanswered.executed is not Executed.NO:
                        return Err(unanswered)
        detail = "; ".join(failures)
        return Err(Unanswered(detail=detail, executed=Executed.NO))

    def _prefer(self, url: str) -> None:
        """Ask a router that answered first, so that a change goes where a read went."""
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
                method, PREFIX + path, body=body, headers={**JSON_HEADERS, **self._headers}
            )
            connected = True
            return Ok(_read(response.status_code, bytes(response.read())))
        except (ConnectionRefusedError, ValueError) as error:
            executed = Executed.UNKNOWN if connected else Executed.NO
            return Err(Unanswered(detail=_describe(error), executed=executed))
        except Exception as error:  # a timeout or a reset: the request may have arrived
            return Err(Unanswered(detail=_describe(error), executed=Executed.UNKNOWN))

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


def _read(status: int, body: bytes) -> Reply:
    document = json.loads(body)
    code = document.get("code") if isinstance(document, dict) else None
    known = code if code in ResultCode.__members__.values() else None
    return Reply(
        status=status, document=document, code=None if known is None else ResultCode(known)
    )


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
