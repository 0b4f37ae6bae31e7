"""Fields of one server-sent event, whose lines end with LF or CRLF and stand in any order."""

from __future__ import annotations

import re

# More than any integer of 64 bits has; longer ones would be slow to convert.
MAX_ID_DIGITS = 24
# A field is the name at the start of a line; a line without a colon is a field with an empty value.
_ID_LINE = re.compile(rb"^id(?:: ?([^\r\n]*))?\r?$", re.MULTILINE)
_ID_FIELD = re.compile(rb"id: ?(\d{1,24})\r?\n")
_DATA_LINE = re.compile(rb"^data(?::|\r?$)", re.MULTILINE)
_DONE_LINE = re.compile(rb"^data: ?\[DONE\]\r?$", re.MULTILINE)


def read_id(event: bytes) -> int | None:
    """Return the number in the last ``id`` field of an event, ``None`` without one."""
    # Nearly all events have a number in the last line whose field begins with "id".
    at = event.rfind(b"\nid") + 1
    found = _ID_FIELD.match(event, at)
    if found is not None:
        return int(found[1])
    if not at and not event.startswith(b"id"):
        return None
    ids = _ID_LINE.findall(event)
    if not ids or not ids[-1].isdigit() or len(ids[-1]) > MAX_ID_DIGITS:
        return None
    return int(ids[-1])


def has_data(event: bytes) -> bool:
    """Return whether an event has data; without any it is a comment or none at all."""
    return _DATA_LINE.search(event) is not None


def is_done(event: bytes) -> bool:
    """Return whether this is the final event of an OpenAI-compatible stream."""
    return _DONE_LINE.search(event) is not None
