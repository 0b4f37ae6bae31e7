"""Tests that streams of events of any form reach callers whole, across crashes of targets."""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from loomyard_router.relays.event_stream import TAIL_LENGTH, EventStream
from test_loomyard_router.test_relays.sse_runs import SentEvent, read_events, sent_events

PROFILE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=250,
    suppress_health_check=list(HealthCheck),
)
MAX_RUNS = 4


def index_after(events: list[SentEvent], last_id: int) -> int:
    """Return where a run goes on that is asked to after an id."""
    return next((n + 1 for n, event in enumerate(events) if event.number == last_id), 0)


class BrokenStreams:
    """Runs of one stream, each cut at some byte but the last, fed to a relay in some parts."""

    def __init__(self, data: st.DataObject, events: list[SentEvent]) -> None:
        self._data = data
        self._events = events

    def run(self, start: int, *, is_cut: bool) -> list[bytes]:
        """Return the parts in which the bytes of a run arrive."""
        line_end = self._data.draw(st.sampled_from(("\n", "\r\n")))
        sent = b"".join(event.encode(line_end) for event in self._events[start:])
        if is_cut:
            sent = sent[: self._data.draw(st.integers(0, len(sent)))]
        parts = []
        while sent:
            size = self._data.draw(st.sampled_from((1, 3, 7, 64, 4096, 100_000)))
            parts.append(sent[:size])
            sent = sent[size:]
        return parts

    def relay(self, stream: EventStream, start: int, *, is_cut: bool) -> bytes:
        """Feed a run to a stream; return what it forwards."""
        blocks = []
        for part in self.run(start, is_cut=is_cut):
            block = stream.feed(part)
            assert block is not None, "a run that fits was refused"
            blocks.append(block)
        return b"".join(blocks)

    def earlier_start(self, start: int) -> int:
        """Return the start of a run that may repeat numbered events."""
        numbered = [n for n in range(start) if self._events[n].number is not None]
        return self._data.draw(st.sampled_from([start, *numbered[-2:]]))


class EventStreamTest(unittest.TestCase):
    @PROFILE
    @given(data=st.data(), events=sent_events())
    def test_a_stream_resumed_by_a_router_is_whole(
        self, data: st.DataObject, events: list[SentEvent]
    ) -> None:
        # Guards against a piece that is missing, comes twice or is torn after a target crashed.
        runs = BrokenStreams(data, events)
        stream = EventStream()
        received = runs.relay(stream, 0, is_cut=True)
        for left in reversed(range(data.draw(st.integers(1, MAX_RUNS)))):
            if not stream.is_resumable:
                # Events without an id came before the first with one: nothing says where to go on.
                self.assertTrue(all(number is None for number, _ in read_events(received)))
                return
            stream.restart()
            start = index_after(events, stream.known_id) if stream.known_id >= 0 else 0
            received += runs.relay(stream, runs.earlier_start(start), is_cut=left > 0)
        self.assertEqual([event.received for event in events], read_events(received))
        self.assertFalse(stream.pending)

    @PROFILE
    @given(data=st.data(), events=sent_events())
    def test_a_stream_that_its_caller_takes_up_is_whole(
        self, data: st.DataObject, events: list[SentEvent]
    ) -> None:
        # Guards against a torn first event where the caller names the last one that it has.
        runs = BrokenStreams(data, events)
        first = read_events(runs.relay(EventStream(), 0, is_cut=True))
        numbers = [number for number, _ in first if number is not None]
        if not numbers:
            return
        kept = first[: index_after(events, numbers[-1])]
        stream = EventStream(after=numbers[-1])
        start = index_after(events, numbers[-1])
        rest = runs.relay(stream, runs.earlier_start(start), is_cut=True)
        stream.restart()
        start = index_after(events, stream.known_id)
        rest += runs.relay(stream, runs.earlier_start(start), is_cut=False)
        self.assertEqual([event.received for event in events], kept + read_events(rest))

    @PROFILE
    @given(data=st.data(), events=sent_events(with_gaps=True))
    def test_an_unbroken_stream_is_passed_on_to_the_byte(
        self, data: st.DataObject, events: list[SentEvent]
    ) -> None:
        # Guards against a relay that changes or holds back what it passes on.
        runs = BrokenStreams(data, events)
        parts = runs.run(0, is_cut=False)
        stream = EventStream()
        blocks = [stream.feed(part) for part in parts]
        self.assertEqual(b"".join(parts), b"".join(block or b"" for block in blocks))
        numbers = [event.number for event in events if event.number is not None]
        self.assertEqual(numbers[-1] if numbers else -1, stream.known_id)
        self.assertEqual(len(events), stream.events)

    def test_an_id_before_a_long_event_is_remembered(self) -> None:
        # Guards against a repeated piece where an event is longer than the tail that is kept.
        stream = EventStream()
        stream.feed(b"id: 1\ndata: a\n\nid: 2\ndata: " + b"x" * (2 * TAIL_LENGTH) + b"\n\n")
        stream.restart()
        self.assertEqual(2, stream.last_id)
        self.assertEqual(b"", stream.feed(b"id: 2\ndata: again\n\n"))
        self.assertEqual(b"data: c\nid: 3\n\n", stream.feed(b"data: c\nid: 3\n\n"))

    def test_a_gap_after_a_resumption_is_refused(self) -> None:
        # Guards against a stream that ends as complete though a target went on too late.
        for after in (-1, 4):
            with self.subTest(after=after):
                stream = EventStream(after=after)
                if after < 0:
                    stream.feed(b"data: e\nid: 4\n\n")
                    stream.restart()
                self.assertIsNone(stream.feed(b"data: g\nid: 6\n\n"))

    def test_ids_that_rise_by_uneven_steps_can_be_resumed(self) -> None:
        # Guards against refused resumptions where ids have gaps.
        stream = EventStream()
        stream.feed(b"id: 10\ndata: a\n\nid: 20\ndata: b\n\n")
        stream.restart()
        self.assertEqual(b"id: 35\ndata: c\n\n", stream.feed(b"id: 35\ndata: c\n\n"))

    def test_an_event_without_an_id_that_differs_in_the_next_run_is_refused(self) -> None:
        # Guards against pieces of two runs where no id tells them apart.
        stream = EventStream()
        stream.feed(b"id: 1\ndata: a\n\ndata: b\n\n")
        stream.restart()
        self.assertIsNone(stream.feed(b"data: another\n\n"))

    def test_comments_are_no_events(self) -> None:
        # Guards against comments that count as pieces when a stream is resumed.
        stream = EventStream()
        self.assertEqual(b": hello\n\n", stream.feed(b": hello\n\n"))
        self.assertTrue(stream.is_resumable)
        self.assertEqual((-1, 0), (stream.known_id, stream.events))
        stream.feed(b"id: 0\ndata: a\n\n: wait\n\n")
        stream.restart()
        self.assertEqual(
            b": wait\n\nid: 1\ndata: b\n\n", stream.feed(b": wait\n\nid: 1\ndata: b\n\n")
        )

    def test_the_final_event_may_have_its_id_after_its_data(self) -> None:
        # Guards against a stream that is never seen as done.
        stream = EventStream()
        stream.feed(b"data: a [DONE]\r\nid: 0\r\n\r\n")
        self.assertFalse(stream.done)
        stream.feed(b"data: [DONE]\r\nid: 1\r\n\r\n")
        self.assertTrue(stream.done)


if __name__ == "__main__":
    unittest.main()
