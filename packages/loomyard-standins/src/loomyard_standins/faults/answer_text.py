"""Decoding of the answer bodies that callers received."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from loomyard_standins.faults.observations import Ending

if TYPE_CHECKING:
    from loomyard_standins.faults.observations import CallRecord

DONE = b"data: [DONE]"
DATA = b"data: "


def is_whole(record: CallRecord) -> bool:
    """Return whether a caller regards its answer as complete (a stream needs ``[DONE]``)."""
    if record.ending is not Ending.WHOLE:
        return False
    return DONE in record.body if record.stream else True


def answer_text(record: CallRecord) -> str | None:
    """Return the generated text or the body received; ``None`` if it can't be decoded."""
    if record.stream:
        return _stream_text(record.body)
    if record.ending is not Ending.WHOLE:
        return ""
    try:
        document = json.loads(record.body)
        if "choices" in document:
            return document["choices"][0]["text"]
    except (ValueError, LookupError, TypeError):
        return None
    return record.body.decode()


def _stream_text(body: bytes) -> str | None:
    text = ""
    for event in body.split(b"\n\n")[:-1]:
        data = [line[len(DATA) :] for line in event.split(b"\n") if line.startswith(DATA)]
        if not data or data[0] == b"[DONE]":
            continue
        try:
            choices = json.loads(data[0]).get("choices") or []
        except (ValueError, AttributeError):
            return None
        text += "".join(choice.get("text", "") for choice in choices)
    return text
