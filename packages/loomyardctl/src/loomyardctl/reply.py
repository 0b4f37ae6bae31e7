"""The answer of a router, or the failure to get one."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from attrs import frozen

from loomyard.errors import Executed, ResultCode


@frozen(kw_only=True)
class Reply:
    """The JSON answer of a router; ``code`` is set if it is a problem document."""

    status: int
    document: Any
    code: ResultCode | None = None

    @property
    def ok(self) -> bool:
        return self.status == HTTPStatus.OK

    @property
    def problem(self) -> str:
        """The title, detail and result code of a problem document in one line."""
        number = "" if self.code is None else f" [{self.code:d}]"
        return f"{self.document.get('title', 'failed')}: {self.document.get('detail', '')}{number}"


@frozen(kw_only=True)
class Unanswered:
    """The failure to get an answer; ``executed`` states whether a router may have acted."""

    detail: str
    executed: Executed
