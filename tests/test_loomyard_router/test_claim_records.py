"""Tests of the state folded from claim records, and of the keys that carry a time.

They guard against a key that two claims own: by a duplicate, late or abandoned record.
"""

from __future__ import annotations

import unittest
import uuid

from attrs import evolve

from loomyard_router.claims.claim_coordinator import RecordedOutcome
from loomyard_router.claims.key_state import Phase
from loomyard_router.claims.keys import parse_issue_time
from loomyard_router.claims.partition_state import MAX_APPEND_DELAY_SECONDS, PartitionState
from loomyard_router.claims.records import Abandoned, Begun, ClaimBatch, Finished
from loomyard_router.claims.verdict import Verdict
from loomyard_router.settings import parse_settings

KEY = b"key"
WINDOW = 1000.0
OUTCOME = RecordedOutcome(status=201, content_type="text/plain", body=b"1")


def begun(name: bytes, at: float = 1000.0, issued_at: float | None = None) -> Begun:
    return Begun(
        claim_id=name,
        key=KEY,
        fingerprint=b"f",
        owner="a",
        incarnation=1,
        begun_at=at,
        answer_by=at + 10,
        keep_until=at + WINDOW,
        issued_at=issued_at,
    )


class FoldTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = PartitionState()

    def begin(self, *args, **options) -> Verdict:
        return self.state.apply(ClaimBatch(begun=[begun(*args, **options)]))[0]

    def abandon(self, name: bytes) -> None:
        abandoned = Abandoned(claim_id=name, key=KEY, keep_until=1000 + WINDOW)
        self.state.apply(ClaimBatch(abandoned=[abandoned]))

    def finish(self, name: bytes, outcome: RecordedOutcome | None) -> None:
        self.state.apply(ClaimBatch(finished=[Finished(claim_id=name, key=KEY, outcome=outcome)]))

    def test_first_claim_in_the_log_owns_the_key(self) -> None:
        batch = ClaimBatch(begun=[begun(b"1"), begun(b"2"), begun(b"1")])
        self.assertEqual(self.state.apply(batch), [Verdict.GRANTED, Verdict.TAKEN, Verdict.GRANTED])

    def test_duplicate_of_a_refused_record_is_void_even_if_the_key_is_free(self) -> None:
        self.begin(b"1")
        self.begin(b"2")
        self.abandon(b"1")
        self.assertEqual([self.begin(b"2"), self.begin(b"1")], [Verdict.VOID] * 2)
        self.assertEqual(self.begin(b"3"), Verdict.GRANTED)

    def test_claim_abandoned_before_its_record_arrives_is_void(self) -> None:
        self.abandon(b"1")
        self.assertEqual(self.begin(b"1"), Verdict.VOID)

    def test_record_appended_too_late_is_refused(self) -> None:
        self.begin(b"1", 1000.0 + MAX_APPEND_DELAY_SECONDS + 1)
        self.abandon(b"1")
        self.assertEqual(self.begin(b"2", 1000.0), Verdict.LATE)

    def test_key_is_free_after_its_window_unless_it_carries_a_time(self) -> None:
        self.begin(b"1")
        self.assertEqual(self.begin(b"2", 1000.0 + WINDOW), Verdict.TAKEN)
        after = 1001.0 + WINDOW
        self.assertEqual(self.begin(b"3", after, issued_at=1000.0), Verdict.EXPIRED)
        self.assertEqual(self.begin(b"4", after), Verdict.GRANTED)

    def test_only_the_first_outcome_of_the_owner_is_recorded(self) -> None:
        self.begin(b"1")
        self.finish(b"2", OUTCOME)
        self.assertEqual(self.state.find(KEY).phase, Phase.BEGUN)
        self.finish(b"1", None)
        self.assertEqual(self.state.find(KEY).phase, Phase.UNKNOWN)
        self.finish(b"1", OUTCOME)
        self.finish(b"1", evolve(OUTCOME, status=500))
        self.finish(b"1", None)
        found = self.state.find(KEY)
        self.assertEqual((found.phase, found.outcome), (Phase.FINISHED, OUTCOME))

    def test_finished_claim_is_not_released(self) -> None:
        self.begin(b"1")
        self.finish(b"1", OUTCOME)
        self.abandon(b"1")
        self.assertEqual(self.state.find(KEY).phase, Phase.FINISHED)

    def test_keys_expire_after_the_window(self) -> None:
        for number in range(50):
            item = evolve(begun(b"%d" % number, 1000.0 + number), key=b"%d" % number)
            self.state.apply(ClaimBatch(begun=[item]))
        self.begin(b"last", 2000.0 + WINDOW)
        self.assertEqual(len(self.state), 1)


class KeysTest(unittest.TestCase):
    def test_time_of_a_version_7_uuid(self) -> None:
        stamped = uuid.UUID(int=(1_700_000_000_123 << 80) | (7 << 76) | (2 << 62))
        self.assertEqual(parse_issue_time(str(stamped)), 1_700_000_000.123)
        for other in (str(uuid.uuid4()), "receipt-7", ""):
            self.assertIsNone(parse_issue_time(other))

    def test_retention_must_exceed_twice_the_window(self) -> None:
        arguments = ["--log-service=h:1", "--claim-window=3600", "--log-retention=7200"]
        (fault,) = parse_settings(arguments, {}).unwrap_err()
        self.assertEqual(fault.field, "claim_window")
