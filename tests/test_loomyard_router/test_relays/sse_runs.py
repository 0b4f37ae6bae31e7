"""Streams of server-sent events in all their forms, as several runs of a target send them."""

from __future__ import annotations

from attrs import frozen
from hypothesis import strategies as st

# Longer than what the relay keeps of the end of a stream.
LONG_DATA = "x" * 5000
DATA_LINES = ("piece", "id: 3", "id:7", "", "data: id: 2", "event: x", ": no comment", LONG_DATA)


@frozen
class SentEvent:
    """An event by its data lines, its id if it has one, and the form in which it is sent."""

    number: int | None
    data: tuple[str, ...]
    lines: tuple[str, ...]

    def encode(self, line_end: str) -> bytes:
        """Return the bytes of the event."""
        return "".join(line + line_end for line in (*self.lines, "")).encode()

    @property
    def received(self) -> tuple[int | None, str]:
        """Return what a client reads of the event."""
        return self.number, "\n".join(self.data)


@st.composite
def sent_events(draw: st.DrawFn, *, with_gaps: bool = False) -> list[SentEvent]:
    """Draw a stream; each event uses up a number, and some do not state theirs."""
    events = []
    number = draw(st.sampled_from((0, 1, 8)))
    numbered = draw(st.sampled_from(("all", "most")))
    for index in range(draw(st.integers(1, 8))):
        has_id = numbered == "all" or draw(st.integers(0, 2)) > 0
        events.append(_draw_event(draw, index, number if has_id else None))
        number += draw(st.integers(1, 3)) if with_gaps else 1
    return events


def _draw_event(draw: st.DrawFn, index: int, number: int | None) -> SentEvent:
    extra = draw(st.lists(st.sampled_from(DATA_LINES), max_size=2))
    data = (f"piece {index}", *extra)
    colon = draw(st.sampled_from((":", ": ")))
    # The order of the data lines is part of the event, that of all other lines is free.
    places = ["data"] * len(data)
    places += draw(st.sampled_from(([], ["event: token"], [": comment"], ["version:4", ":"])))
    if number is not None:
        places.append(f"id{colon}{number}")
    places = draw(st.permutations(places))
    remaining = list(data)
    lines = tuple(f"data: {remaining.pop(0)}" if line == "data" else line for line in places)
    return SentEvent(number, data, lines)


def read_events(stream: bytes) -> list[tuple[int | None, str]]:
    """Read a stream as a client does: field by field, up to the last complete event."""
    events: list[tuple[int | None, str]] = []
    number: int | None = None
    data: list[str] = []
    for line in stream.decode().replace("\r\n", "\n").split("\n")[:-1]:
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if not line:
            if data:
                events.append((number, "\n".join(data)))
            number, data = None, []
        elif name == "data":
            data.append(value)
        elif name == "id":
            number = int(value)
    return events
