"""The text of an answer as a caller reads it."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from loomyard_standins.faults.sightings import Ending

if TYPE_CHECKING:
    from loomyard_standins.faults.sightings import CallerSaw

DONE = b"data: [DONE]"
DATA = b"data: "


def is_whole(saw: CallerSaw) -> bool:
    """Tell whether the caller must take its answer for a whole one."""
    if saw.ending is not Ending.WHOLE:
        return False
    return DONE in saw.body if saw.stream else True


def answer_text(saw: CallerSaw) -> str | None:
    """Return the text; ``None`` where the caller can't read what it takes for an answer."""
    if saw.stream:
        return _stream_text(saw.body)
    if saw.ending is not Ending.WHOLE:
        return ""
    try:
        document = json.loads(saw.body)
        if "choices" in document:
            return document["choices"][0]["text"]
    except (ValueError, LookupError, TypeError):
        return None
    return saw.body.decode()


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
