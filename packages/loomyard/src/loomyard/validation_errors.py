"""Conversion of cattrs validation errors to text, safe for hostile input."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cattrs import ForbiddenExtraKeysError, transform_error
from cattrs.v import format_exception

if TYPE_CHECKING:
    from cattrs import BaseValidationError

MAX_DETAIL_CHARACTERS = 500


def error_lines(error: BaseValidationError, *, path: str = "$") -> list[str]:
    """Return one line ``DETAIL @ PATH`` for each fault."""
    try:
        return transform_error(error, path=path, format_exception=_describe)
    except Exception as nested:  # cattrs fails to format some errors of hostile input
        return [f"unreadable: {type(nested).__name__} @ {path}"]


def _describe(error: BaseException, kind: type | None) -> str:
    if isinstance(error, ForbiddenExtraKeysError):
        # cattrs joins the keys as strings, but keys in CBOR may be of any type.
        names = ", ".join(sorted(map(str, error.extra_fields)))
        return f"extra fields found ({names})"[:MAX_DETAIL_CHARACTERS]
    return format_exception(error, kind)[:MAX_DETAIL_CHARACTERS]
