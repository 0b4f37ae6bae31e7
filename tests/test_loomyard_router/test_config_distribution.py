"""Tests of the distribution of the configuration: from the log, from snapshots and from peers.

They guard against a router that goes back to an older version, or that folds to another state
than the log, when records are trimmed, lost, repeated or late.
"""

from __future__ import annotations

import unittest
from unittest import mock

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from loomyard.codec import encode
from loomyard.configuration import (
    CONFIG_STREAM,
    Change,
    ConfigState,
    Put,
    SnapshotPart,
    Verdict,
    fold_record,
    pack,
)
from loomyard.events import Event
from loomyard.external.log_service import LogRecord
from loomyard.objects import ClientAccount, Metadata, ObjectRef
from loomyard_router.configuration.log_snapshots import LogSnapshots
from loomyard_router.configuration.task_loop import FAILURE_PAUSE_SECONDS
from loomyard_standins.config_fleet import RETENTION_SECONDS, ConfigFleet


class DistributionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = ConfigFleet()

    def test_a_late_snapshot_of_a_paused_writer_is_not_adopted(self) -> None:
        fleet, router = self.fleet, self.fleet.start("a")
        fleet.append_changes(3)
        router.follower.poll()
        late = pack(router.state, part_bytes=32)
        fleet.append_parts(late[:1])
        fleet.append_changes(4)
        router.follower.poll()
        fleet.append_parts(pack(router.state))
        fleet.append_changes(1)
        fleet.append_parts(late[1:])
        router.follower.poll()
        self.assertEqual(router.state, fleet.fold_all())
        empty = fleet.start("b")
        fleet.log.trim(CONFIG_STREAM, 5)
        self.assertEqual(LogSnapshots(fleet.log).find(0).applied, 6)
        empty.follower.poll()
        self.assertEqual(empty.state.applied, 6)
        empty.follower.poll()
        self.assertEqual(empty.state, fleet.fold_all())

    def test_a_snapshot_older_than_the_trimmed_start_is_not_used(self) -> None:
        fleet, router = self.fleet, self.fleet.start("a")
        fleet.append_changes(3)
        router.follower.poll()
        fleet.append_parts(pack(router.state))
        fleet.append_changes(5)
        fleet.log.trim(CONFIG_STREAM, 4)
        fleet.network.leave("a")
        empty = fleet.start("b")
        with mock.patch("loomyard_router.configuration.follower.emit") as emit:
            empty.follower.poll()
        self.assertIs(emit.call_args.args[1], Event.STARTING_POINT_MISSING)
        self.assertEqual(empty.state, ConfigState())
        self.assertFalse(empty.follower.ready)

    def test_records_trimmed_before_they_were_read_come_from_a_peer(self) -> None:
        fleet, lagging, current = self.fleet, self.fleet.start("a"), self.fleet.start("b")
        fleet.append_changes(2)
        lagging.follower.poll()
        fleet.append_changes(4)
        current.follower.poll()
        fleet.log.trim(CONFIG_STREAM, 5)
        fleet.append_changes(1)
        lagging.follower.poll()
        lagging.follower.poll()
        self.assertEqual(lagging.state, fleet.fold_all())

    def test_an_empty_router_starts_from_peers_while_the_log_is_down(self) -> None:
        fleet, router = self.fleet, self.fleet.start("a")
        fleet.append_changes(4)
        router.follower.poll()
        fleet.log.down = True
        for records in (True, False):
            with self.subTest(records=records):
                if not records:
                    router.follower.replica.tail.reset(router.state.applied + 1)
                empty = fleet.start("b")
                self.assertFalse(empty.follower.poll())
                self.assertFalse(empty.follower.ready)
                self.assertTrue(empty.peers.poll())
                self.assertEqual(empty.state, fleet.fold_all())
                self.assertTrue(empty.follower.ready)

    def test_a_router_partitioned_from_the_log_reads_records_from_peers(self) -> None:
        fleet, router, other = self.fleet, self.fleet.start("a"), self.fleet.start("b")
        fleet.append_changes(2)
        router.follower.poll()
        fleet.append_changes(2)
        other.follower.poll()
        self.assertTrue(router.peers.poll())
        self.assertEqual(router.state, fleet.fold_all())
        self.assertIs(router.follower.verdict("c3"), Verdict.ACCEPTED)

    def test_records_applied_twice_change_nothing(self) -> None:
        fleet, router = self.fleet, self.fleet.start("a")
        fleet.append_changes(3)
        router.follower.poll()
        before = router.state
        router.follower.replica.apply(fleet.log.read(CONFIG_STREAM, 0).unwrap().records)
        self.assertIs(router.state, before)

    def test_the_state_of_a_stale_peer_is_not_adopted(self) -> None:
        fleet, router, stale = self.fleet, self.fleet.start("a"), self.fleet.start("b")
        fleet.append_changes(2)
        stale.follower.poll()
        stale.follower.replica.tail.reset(stale.state.applied + 1)
        fleet.append_changes(3)
        router.follower.poll()
        self.assertFalse(router.peers.poll())
        self.assertFalse(router.follower.replica.adopt_newer(stale.state))
        self.assertEqual(router.state, fleet.fold_all())

    def test_a_log_that_lost_its_newest_records_reverts_nothing(self) -> None:
        fleet, router = self.fleet, self.fleet.start("a")
        fleet.append_changes(4)
        router.follower.poll()
        before = router.state
        fleet.log.trim(CONFIG_STREAM, 4)
        fleet.log._first[CONFIG_STREAM] = 0
        fleet.log.append(CONFIG_STREAM, fleet.written[0])
        with mock.patch("loomyard_router.configuration.follower.emit") as emit:
            router.follower.poll()
        self.assertIs(emit.call_args.args[1], Event.LOG_REGRESSED)
        self.assertIs(router.state, before)

    def test_the_follower_continues_after_an_exception(self) -> None:
        fleet, router = self.fleet, self.fleet.start("a")
        fleet.append_changes(1)
        router.follower.start()
        self.addCleanup(router.follower.stop)
        with mock.patch.object(fleet.log, "read", side_effect=RuntimeError):
            gevent.sleep(0)
        self.assertEqual(router.state.version, -1)
        fleet.clock.advance(FAILURE_PAUSE_SECONDS)
        gevent.sleep(0)
        self.assertEqual(router.state.version, 0)

    def test_one_router_writes_each_snapshot_that_is_due(self) -> None:
        fleet = self.fleet
        routers = [fleet.start(name) for name in "abc"]
        fleet.append_changes(3)

        def check() -> list[bool]:
            for router in routers:
                router.follower.poll()
            return [router.writer.check() for router in routers]

        written = check()
        self.assertEqual(sum(written), 1)
        self.assertEqual(check(), [False] * 3)
        fleet.clock.advance(RETENTION_SECONDS / 4)
        self.assertEqual(check(), written)
        self.assertEqual(LogSnapshots(fleet.log).find(0), fleet.fold_all().advance(3))

    def test_a_router_whose_digest_differs_from_the_snapshot_logs_it(self) -> None:
        fleet, right, wrong = self.fleet, self.fleet.start("a"), self.fleet.start("b")
        fleet.append_changes(1)
        right.follower.poll()
        other = Put(object=ClientAccount(metadata=Metadata(name="other")))
        record = LogRecord(0, encode(Change(change_id="x", puts=[other])))
        wrong.follower.replica.apply([record])
        self.assertTrue(right.writer.check())
        events = []
        with mock.patch("loomyard_router.configuration.replica.emit") as emit:
            for router in (right, wrong):
                router.follower.poll()
                events.append([call.args[1] for call in emit.call_args_list])
        self.assertEqual(events, [[], [Event.CONFIGURATION_DIVERGED]])


NAMES = "abc"


class FaultModel:
    """Three routers, faults injected into them, and the invariants checked after each step."""

    def __init__(self) -> None:
        self.fleet = ConfigFleet()
        self.routers = {name: self.fleet.start(name) for name in NAMES}
        self.seen = dict.fromkeys(NAMES, (-1, -1))
        self.unwritten: list[tuple[SnapshotPart, ...]] = []

    def append_change(self, _: str, number: int) -> None:
        kiosk = self.fleet.fold_all().get(ObjectRef("ClientAccount", "kiosk"))
        base = -1 if kiosk is None else kiosk.version
        if not self.fleet.log.down:
            weight = float(1 + len(self.fleet.written))
            self.fleet.append(weight, base - 1 if number == 0 else base)

    def poll_log(self, name: str, _: int) -> None:
        self.routers[name].follower.poll()

    def poll_peers(self, name: str, _: int) -> None:
        self.routers[name].peers.poll()

    def restart(self, name: str, _: int) -> None:
        self.routers[name] = self.fleet.start(name)
        self.seen[name] = (-1, -1)

    def drop_tail(self, name: str, _: int) -> None:
        router = self.routers[name]
        router.follower.replica.tail.reset(router.state.applied + 1)

    def deliver_state(self, name: str, number: int) -> None:
        """Deliver the state of another router, which may be older, like a late answer of a peer."""
        self.routers[name].follower.replica.adopt_newer(self.routers[NAMES[number]].state)

    def write_snapshot(self, name: str, number: int) -> None:
        """Write a snapshot, or only its first part, as by a writer whose process is paused."""
        if self.routers[name].state.version >= 0 and not self.fleet.log.down:
            parts = pack(self.routers[name].state, part_bytes=48)
            self.fleet.append_parts(parts if number else parts[:1])
            self.unwritten += [] if number else [parts[1:]]

    def resume_snapshot(self, _: str, number: int) -> None:
        """Write the other parts of a paused snapshot, or all of them but the last."""
        if self.unwritten and not self.fleet.log.down:
            self.fleet.append_parts(self.unwritten.pop(0)[: None if number else -1])

    def trim(self, _: str, number: int) -> None:
        self.fleet.log.trim(CONFIG_STREAM, len(self.fleet.written) - number)

    def toggle_log(self, _: str, number: int) -> None:
        self.fleet.log.down = number == 0

    def partition(self, name: str, number: int) -> None:
        if number == 0:
            self.fleet.network.cut({name}, set(NAMES) - {name})
        else:
            self.fleet.network.heal()

    def check(self) -> None:
        for name, router in self.routers.items():
            version, applied = router.state.version, router.state.applied
            seen = self.seen[name]
            assert version >= seen[0], f"{name}: version {seen[0]} became {version}"
            assert applied >= seen[1], f"{name}: applied {seen[1]} became {applied}"
            self.seen[name] = (version, applied)
            expected = ConfigState()
            for offset, payload in enumerate(self.fleet.written[: applied + 1]):
                expected = fold_record(expected, offset, payload).state
            assert router.state == expected, f"{name}: {router.state} is not {expected}"


STEPS = st.sampled_from(
    [FaultModel.append_change, FaultModel.poll_log, FaultModel.poll_peers] * 4
    + [FaultModel.restart, FaultModel.write_snapshot, FaultModel.trim, FaultModel.toggle_log] * 2
    + [
        FaultModel.drop_tail,
        FaultModel.deliver_state,
        FaultModel.resume_snapshot,
        FaultModel.partition,
    ]
)
SEQUENCES = st.lists(
    st.tuples(STEPS, st.sampled_from(NAMES), st.integers(0, 2)), min_size=30, max_size=60
)


class RandomSequencesTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(SEQUENCES)
    def test_no_version_decreases_and_each_state_equals_the_fold_of_the_log(
        self, steps: list
    ) -> None:
        model = FaultModel()
        for step, name, number in steps:
            step(model, name, number)
            model.check()


if __name__ == "__main__":
    unittest.main()
