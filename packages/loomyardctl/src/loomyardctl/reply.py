"""What a router answered, or that none did."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from attrs import frozen

from loomyard.errors import Executed, ResultCode


@frozen(kw_only=True)
class Reply:
    """The JSON answer of a router; ``code`` where it is a problem document."""

    status: int
    document: Any
    code: ResultCode | None = None

    @property
    def ok(self) -> bool:
        return self.status == HTTPStatus.OK

    @property
    def problem(self) -> str:
        """Describe a problem document."""
        number = "" if self.code is None else f" [{self.code:d}]"
        return f"{self.document.get('title', 'failed')}: {self.document.get('detail', '')}{number}"


@frozen(kw_only=True)
class Unanswered:
    """No router answered; ``executed`` says whether one may have acted."""

    detail: str
    executed: Executed
