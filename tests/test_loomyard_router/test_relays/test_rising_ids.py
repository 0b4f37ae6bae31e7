"""Tests of streams whose ids rise by any step, grouped otherwise by each target."""

from __future__ import annotations

import re
import unittest

from hypothesis import given
from hypothesis import strategies as st

from loomyard_router.relays.event_stream import EventStream
from test_loomyard_router.test_relays.test_event_stream import MAX_RUNS, PROFILE

_EVENT = re.compile(rb"id: (\d+)\ndata: ([\d ]+)\n\n")


def make_event(tokens: range, scale: int) -> bytes:
    """Return an event whose id follows from the last of its tokens."""
    return b"id: %d\ndata: %b\n\n" % (tokens[-1] * scale, b" ".join(b"%d" % one for one in tokens))


def read_tokens(stream: bytes) -> list[int]:
    """Return the tokens that a caller has received."""
    return [int(token) for _, data in _EVENT.findall(stream) for token in data.split()]


@st.composite
def groupings(draw: st.DrawFn, first: int, count: int) -> list[range]:
    """Draw how a target groups the tokens from ``first`` on into events."""
    if draw(st.booleans()):
        sizes = [draw(st.integers(1, 9))] * count
    else:
        sizes = draw(st.lists(st.integers(1, 9), min_size=count, max_size=count))
    groups = []
    for size in sizes:
        if first > count:
            break
        groups.append(range(first, min(first + size, count + 1)))
        first += size
    return groups


class RisingIdsTest(unittest.TestCase):
    def relay(
        self, data: st.DataObject, stream: EventStream, groups: list[range], scale: int, keep: bool
    ) -> bytes:
        """Feed a run, cut off somewhere unless it is to be kept whole; return what is relayed."""
        sent = b"".join(make_event(tokens, scale) for tokens in groups)
        if not keep:
            sent = sent[: data.draw(st.integers(0, len(sent)))]
        block = stream.feed(sent)
        assert block is not None, "a run that goes on at the id was refused"
        return block

    @PROFILE
    @given(data=st.data())
    def test_a_stream_taken_up_by_router_and_caller_is_whole(self, data: st.DataObject) -> None:
        # Guards against a step between ids that counts as missing events.
        count = data.draw(st.integers(1, 60))
        scale = data.draw(st.sampled_from((1, 1, 6, 1000, 10**18)))
        first = data.draw(st.integers(1, 3))
        received = b""
        after = -1
        for attempt in range(data.draw(st.integers(1, 3))):
            stream = EventStream(after=after, consecutive_ids=False)
            for left in reversed(range(data.draw(st.integers(1, MAX_RUNS)))):
                is_last = attempt == 2 or left == 0
                begin = first if stream.known_id < 0 else stream.known_id // scale + 1
                groups = data.draw(groupings(begin, count))
                received += self.relay(data, stream, groups, scale, is_last and left == 0)
                stream.restart()
            after = stream.known_id
        self.assertEqual(list(range(first, count + 1)), read_tokens(received))

    def test_the_first_step_of_a_stream_that_is_taken_up_may_be_any(self) -> None:
        # Guards against streams that can't be taken up, as nothing was seen of them before.
        for number in (19, 24, 100, 10**20):
            stream = EventStream(after=18, consecutive_ids=False)
            sent = b"id: %d\ndata: x\n\n" % number
            self.assertEqual(sent, stream.feed(sent))
            self.assertEqual(number, stream.known_id)

    def test_a_router_resumes_after_the_first_event_whatever_its_id(self) -> None:
        stream = EventStream(consecutive_ids=False)
        stream.feed(b"id: 6\ndata: x\n\n")
        stream.restart()
        self.assertEqual(b"id: 12\ndata: y\n\n", stream.feed(b"id: 12\ndata: y\n\n"))

    def test_a_run_may_repeat_events_up_to_the_last_one(self) -> None:
        stream = EventStream(after=18, consecutive_ids=False)
        sent = [b"id: %d\ndata: x\n\n" % number for number in (6, 12, 18, 24)]
        self.assertEqual(sent[-1], stream.feed(b"".join(sent)))

    def test_a_run_that_repeats_events_but_not_the_last_one_is_refused(self) -> None:
        # Guards against a piece that comes twice or is missing, as events are grouped otherwise.
        for resumed in (False, True):
            stream = EventStream(after=-1 if resumed else 18, consecutive_ids=False)
            if resumed:
                stream.feed(b"id: 6\ndata: x\n\nid: 12\ndata: x\n\nid: 18\ndata: x\n\n")
                stream.restart()
            self.assertIsNone(
                stream.feed(b"id: 10\ndata: x\n\nid: 15\ndata: x\n\nid: 20\ndata: x\n\n")
            )


if __name__ == "__main__":
    unittest.main()
