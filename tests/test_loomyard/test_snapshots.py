"""Tests of the encoding of snapshots and of their reassembly from parts."""

from __future__ import annotations

import hashlib
import unittest

from attrs import evolve

from loomyard.configuration import (
    Change,
    ConfigState,
    Put,
    SnapshotAssembly,
    SnapshotPart,
    fold,
    pack,
    unpack,
)
from loomyard.objects import ClientAccount, Metadata


def state_of(count: int, *, start: int = 0) -> ConfigState:
    state = ConfigState()
    for offset in range(start, start + count):
        name = f"account-{offset}"
        digest = hashlib.sha256(name.encode()).hexdigest()
        account = ClientAccount(metadata=Metadata(name=name), key_digests=[digest])
        record = Change(change_id=name, puts=[Put(object=account)])
        state, _ = fold(state, offset, record)
    return state


class PackingTest(unittest.TestCase):
    def test_parts_are_limited_in_size_and_decode_to_the_state(self) -> None:
        state = state_of(120)
        parts = pack(state, part_bytes=256)
        self.assertGreater(len(parts), 5)
        self.assertLessEqual(max(len(part.data) for part in parts), 256)
        self.assertEqual(unpack(parts).unwrap(), state)

    def test_damaged_parts_are_refused(self) -> None:
        parts = pack(state_of(3))
        data = parts[0].data
        self.assertTrue(unpack((evolve(parts[0], data=data[:-1] + b"\0"),)).is_err())
        self.assertEqual(
            unpack((evolve(parts[0], digest="0" * 32),)).unwrap_err(), "the digest differs"
        )

    def test_bytes_that_are_no_snapshot_are_refused(self) -> None:
        for data in (b"", b"x", b"\xff" * 50):
            checksum = hashlib.sha256(data).digest()
            part = evolve(pack(state_of(1))[0], data=data, checksum=checksum)
            self.assertTrue(unpack((part,)).is_err())


class AssemblyTest(unittest.TestCase):
    def collect(self, parts: list[SnapshotPart], least: int) -> list[int]:
        assembly = SnapshotAssembly()
        for part in parts:
            assembly.add(part)
        return [found[0].as_of for found in assembly.complete(min_offset=least)]

    def test_the_newest_complete_snapshot_comes_first(self) -> None:
        old, middle, new = (pack(state_of(count), part_bytes=64) for count in (5, 6, 7))
        duplicated = [*new[:-1], *middle[::-1], *old, *middle]
        self.assertEqual(self.collect(duplicated, 0), [5, 4])
        self.assertEqual(self.collect([*duplicated, new[-1]], 5), [6, 5])

    def test_parts_with_index_or_count_out_of_range_are_dropped(self) -> None:
        part = pack(state_of(1))[0]
        wrong = [evolve(part, index=index) for index in (-1, 1, 10**9)]
        self.assertEqual(self.collect([*wrong, evolve(part, count=10**9)], 0), [])


if __name__ == "__main__":
    unittest.main()
