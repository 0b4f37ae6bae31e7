"""Relay of server-sent events as bytes."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Iterator

    from loomyard_router.relays.source import ByteSource

EVENT_END = b"\n\n"
DONE = b"data: [DONE]"
TAIL_LENGTH = 4096
_USAGE = re.compile(rb'"usage":\s*(\{[^{}]*\})')


@define
class StreamProgress:
    """What has passed so far; ``usage`` is read once, from the tail."""

    events: int = 0
    done: bool = False
    tail: bytes = b""

    @property
    def usage(self) -> tuple[int, int] | None:
        """Return prompt and completion tokens as the target counted them."""
        found = _USAGE.findall(self.tail)
        if not found:
            return None
        try:
            usage = json.loads(found[-1])
            return int(usage["prompt_tokens"]), int(usage["completion_tokens"])
        except (ValueError, KeyError, TypeError):
            return None


def relay_events(source: ByteSource, progress: StreamProgress) -> Iterator[bytes]:
    """Pass whole events on; bytes after the last whole event are held back."""
    rest = b""
    while data := source.read():
        rest += data
        cut = rest.rfind(EVENT_END)
        if cut < 0:
            continue
        cut += len(EVENT_END)
        whole, rest = rest[:cut], rest[cut:]
        progress.events += whole.count(EVENT_END)
        progress.tail = (progress.tail + whole)[-TAIL_LENGTH:]
        progress.done = DONE in progress.tail
        yield whole
