"""Tests of the fold of changes."""

from __future__ import annotations

import unittest

from loomyard.codec import decode, encode
from loomyard.configuration import Change, ConfigState, Deletion, Put, Verdict, fold
from loomyard.objects import ClientAccount, Metadata, ObjectRef

REF = ObjectRef("ClientAccount", "kiosk")


def put(weight: float, based_on: int = -1) -> Change:
    account = ClientAccount(metadata=Metadata(name="kiosk"), weight=weight)
    return Change(change_id=f"c{weight}", puts=[Put(object=account, based_on=based_on)])


class FoldTest(unittest.TestCase):
    def test_a_racing_change_is_stale(self) -> None:
        state, first = fold(ConfigState(), 0, put(1.0))
        state, second = fold(state, 1, put(2.0))
        self.assertEqual((first, second), (Verdict.ACCEPTED, Verdict.STALE))
        self.assertEqual(state.objects[REF].object.weight, 1.0)
        self.assertEqual((state.version, state.applied), (0, 1))

    def test_a_change_based_on_the_last_is_accepted(self) -> None:
        state, _ = fold(ConfigState(), 4, put(1.0))
        state, verdict = fold(state, 9, put(2.0, based_on=4))
        self.assertIs(verdict, Verdict.ACCEPTED)
        self.assertEqual(state.objects[REF].object.weight, 2.0)

    def test_deletion_names_its_version(self) -> None:
        state, _ = fold(ConfigState(), 0, put(1.0))
        stale = Change(change_id="d1", deletions=[Deletion(ref=REF, based_on=7)])
        state, verdict = fold(state, 1, stale)
        self.assertIs(verdict, Verdict.STALE)
        good = Change(change_id="d2", deletions=[Deletion(ref=REF, based_on=0)])
        state, verdict = fold(state, 2, good)
        self.assertIs(verdict, Verdict.ACCEPTED)
        self.assertEqual(state.objects, {})

    def test_a_repeated_offset_changes_nothing(self) -> None:
        state, _ = fold(ConfigState(), 3, put(1.0))
        again, verdict = fold(state, 3, put(2.0, based_on=3))
        self.assertIs(verdict, Verdict.REPEATED)
        self.assertIs(again, state)

    def test_records_survive_the_wire(self) -> None:
        change = put(2.5)
        self.assertEqual(decode(encode(change), Change).unwrap(), change)


if __name__ == "__main__":
    unittest.main()
