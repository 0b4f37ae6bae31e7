"""Tests that any router finds what began a stream, whichever routers have ended since."""

from __future__ import annotations

import unittest

from loomyard.errors import ResultCode
from loomyard_router.streams.origin_history import HISTORY_SECONDS
from loomyard_router.streams.origin_messages import OriginEntry, OriginQuery, OriginUpdate
from loomyard_router.streams.origin_replicator import HOSTS
from loomyard_router.streams.stream_id import MAX_ID_CHARS
from test_loomyard_router.test_streams.streams_fleet import (
    NEW,
    OLD,
    SECONDS,
    StreamsFleet,
    make_targets,
)

SIZES = (3, 7, 60)
STREAMS = 20
UNKNOWN = ResultCode.ORIGIN_UNKNOWN.name
# Longer than a record needs to reach its hosts.
SENT_SECONDS = 0.05


class FleetCase(unittest.TestCase):
    def start(
        self, count: int, *, seed: int = 1, versions: tuple[str, ...] = ("v1", "v2")
    ) -> StreamsFleet:
        fleet = StreamsFleet(count, seed=seed, versions=versions)
        self.addCleanup(fleet.stop)
        fleet.run(1.0)
        return fleet


class OriginFleetTest(FleetCase):
    def test_every_router_finds_the_origin_after_the_end_of_the_router_that_began_it(self) -> None:
        for count in SIZES:
            with self.subTest(count=count):
                fleet = self.start(count)
                fleet.begin("a", OLD)
                fleet.begin("b", NEW)
                fleet.run(SENT_SECONDS)
                fleet.kill("r0")
                self.assertEqual({"v1"}, fleet.find_everywhere("a"))
                self.assertEqual({"v2"}, fleet.find_everywhere("b"))

    def test_the_origin_is_found_when_two_routers_end_at_once_and_nobody_knows_yet(self) -> None:
        for count in (3, 7, 60):
            fleet = self.start(count)
            for number in range(STREAMS):
                stream = f"s{number}"
                fleet.begin(stream, OLD)
                fleet.run(SENT_SECONDS)
                for host in fleet.routers["r0"].origins._replicator.find_hosts(stream):
                    with self.subTest(count=count, stream=stream, host=host):
                        fleet.network.cut({"r0", host}, set(fleet.routers))
                        others = sorted(set(fleet.routers) - {"r0", host})
                        outcome = fleet.find(others[number % len(others)], stream)
                        fleet.network.heal()
                        self.assertEqual(OLD, outcome.unwrap())

    def test_a_router_that_joins_finds_origins_and_hides_none(self) -> None:
        for count in SIZES:
            for seed in range(3):
                with self.subTest(count=count, seed=seed):
                    fleet = self.start(count, seed=seed)
                    for number in range(STREAMS):
                        fleet.begin(f"s{number}", OLD)
                    fleet.run(SENT_SECONDS)
                    fleet.kill("r0")
                    fleet.start(f"r{count}")
                    for number in range(STREAMS):
                        found = fleet.find(f"r{1 + number % count}", f"s{number}")
                        self.assertEqual(OLD, found.unwrap())

    def test_origins_of_running_streams_outlive_the_restart_of_every_other_router(self) -> None:
        for count in (3, 7):
            with self.subTest(count=count):
                fleet = self.start(count)
                for number in range(STREAMS):
                    fleet.begin(f"s{number}", OLD)
                for number in range(1, count):
                    fleet.kill(f"r{number}")
                    fleet.run(0.5)
                    fleet.start(f"r{number}")
                    fleet.run(0.5)
                fleet.kill("r0")
                for number in range(STREAMS):
                    found = fleet.find(f"r{1 + number % (count - 1)}", f"s{number}")
                    self.assertEqual(OLD, found.unwrap())

    def test_planned_stops_of_all_hosts_in_turn_lose_no_origin(self) -> None:
        fleet = self.start(7)
        for number in range(STREAMS):
            fleet.begin(f"s{number}", OLD)
        fleet.run(SENT_SECONDS)
        fleet.kill("r0")
        for number in range(1, 7):
            fleet.stop_planned(f"r{number}")
            fleet.start(f"r{number}")
            fleet.run(0.5)
        for number in range(STREAMS):
            self.assertEqual(OLD, fleet.find("r3", f"s{number}").unwrap())

    def test_a_stream_that_is_taken_up_is_found_again_under_its_first_id(self) -> None:
        fleet = self.start(7)
        fleet.begin("a", OLD)
        fleet.run(SENT_SECONDS)
        for name, other in (("r0", "r1"), ("r1", "r2"), ("r2", "r3")):
            fleet.kill(name)
            self.assertEqual(OLD, fleet.find(other, "a").unwrap())
            request = fleet.make_request(f"next-{other}", resumes="a")
            request.origin = OLD
            fleet.routers[other].origins.record(request)
            fleet.run(SENT_SECONDS)
        self.assertEqual({"v1"}, fleet.find_everywhere("a"))

    def test_an_origin_that_no_host_received_is_refused_and_not_guessed(self) -> None:
        for count in SIZES:
            fleet = self.start(count)
            fleet.network.loss = 1.0
            fleet.begin("a", OLD)
            fleet.run(SENT_SECONDS)
            fleet.kill("r0")
            self.assertEqual({UNKNOWN}, fleet.find_everywhere("a"))

    def test_with_half_of_the_messages_lost_no_router_finds_another_origin(self) -> None:
        for seed in range(5):
            fleet = self.start(7, seed=seed)
            fleet.network.loss, fleet.network.doubled = 0.5, 0.3
            for number in range(STREAMS):
                fleet.begin(f"s{number}", (OLD, NEW)[number % 2])
            fleet.run(SENT_SECONDS)
            fleet.kill("r0")
            for number in range(STREAMS):
                found = fleet.find(f"r{1 + number % 6}", f"s{number}")
                if found.is_ok():
                    self.assertEqual((OLD, NEW)[number % 2], found.unwrap())
                else:
                    self.assertIs(ResultCode.ORIGIN_UNKNOWN, found.unwrap_err().code)

    def test_a_router_that_reaches_no_other_refuses_and_names_a_time_to_come_again(self) -> None:
        for versions in (("v1", "v2"), ("v1",)):
            fleet = self.start(7, versions=versions)
            fleet.run(2 * HISTORY_SECONDS)
            fleet.begin("a", OLD)
            fleet.run(SENT_SECONDS)
            # Any of the hosts may be among the routers on its side.
            self.assertTrue(fleet.find("r1", "a").is_ok())
            fleet.begin("b", OLD)
            fleet.run(SENT_SECONDS)
            lone = next(
                name
                for name in fleet.routers
                if name not in ("r0", *fleet.routers["r0"].origins._replicator.find_hosts("b"))
            )
            fleet.network.cut({lone}, set(fleet.routers) - {lone})
            fault = fleet.find(lone, "b").unwrap_err()
            self.assertIs(ResultCode.ORIGIN_UNKNOWN, fault.code)
            self.assertIsNotNone(fault.retry_after)

    def test_a_lookup_that_comes_before_the_record_looks_again(self) -> None:
        for count in (2, 7):
            with self.subTest(count=count):
                fleet = self.start(count)
                fleet.begin("a", OLD)
                # The router that serves the stream stands still once it has sent the record.
                fleet.network.find("r0", "r0").handle(OriginQuery, lambda *_: None)
                host = fleet.routers["r0"].origins._replicator.find_hosts("a")[0]
                self.assertEqual(OLD, fleet.find(host, "a").unwrap())

    def test_records_and_lookups_cost_the_same_messages_in_fleets_of_any_size(self) -> None:
        for count in (7, 60, 200):
            with self.subTest(count=count):
                fleet = self.start(count)
                before = fleet.network.sent_messages
                for number in range(STREAMS):
                    fleet.begin(f"s{number}", OLD)
                    fleet.run(SENT_SECONDS)
                self.assertLessEqual(fleet.network.sent_messages - before, HOSTS * STREAMS)
                asked = fleet.routers["r1"].origins._replicator.find_candidates("s0")
                self.assertLessEqual(len(asked), HOSTS + 1)

    def test_records_expire_some_time_after_the_deadline_of_the_caller(self) -> None:
        fleet = self.start(3)
        fleet.begin("a", OLD)
        fleet.run(SECONDS + 5.0)
        self.assertEqual({"v1"}, fleet.find_everywhere("a"))
        fleet.run(60.0)
        self.assertEqual({UNKNOWN}, fleet.find_everywhere("a"))
        self.assertEqual({0}, {one.origins.metrics.records() for one in fleet.routers.values()})

    def test_ids_of_any_length_are_found_and_kept_short(self) -> None:
        fleet = self.start(3)
        fleet.begin("x" * 16_000, OLD)
        fleet.begin("x" * 15_999, NEW)
        fleet.run(SENT_SECONDS)
        fleet.kill("r0")
        self.assertEqual({"v1"}, fleet.find_everywhere("x" * 16_000))
        self.assertEqual({"v2"}, fleet.find_everywhere("x" * 15_999))
        for router in fleet.routers.values():
            ids = [record.attempt_id for record in router.origins._table.records()]
            self.assertLessEqual(max(map(len, ids)), MAX_ID_CHARS)

    def test_invalid_entries_are_ignored(self) -> None:
        fleet = self.start(2)
        router = fleet.routers["r0"]
        valid = {"attempt_id": "a", "service": "s", "software_version": "v", "remaining_seconds": 9}
        invalid = ({"attempt_id": ""}, {"service": "x" * 999}, {"remaining_seconds": 0})
        entries = [OriginEntry(**valid | changes) for changes in invalid]  # type: ignore[arg-type]
        router.origins._replicator.receive(router.members.own, OriginUpdate(entries=entries))
        self.assertEqual(0, router.origins.metrics.records())


class SoleVersionTest(FleetCase):
    """A stream without a record may go on where there was one version for longer than it lasts."""

    def test_one_version_for_long_enough(self) -> None:
        fleet = self.start(3, versions=("v1",))
        fleet.run(HISTORY_SECONDS - 10.0)
        self.assertEqual({UNKNOWN}, fleet.find_everywhere("lost"))
        fleet.run(10.0)
        self.assertEqual({"v1"}, fleet.find_everywhere("lost"))

    def test_a_version_that_went_a_while_ago_counts(self) -> None:
        fleet = self.start(3)
        for router in fleet.routers.values():
            router.registry.replace_all(make_targets(("v2",)))
        fleet.run(HISTORY_SECONDS - 10.0)
        self.assertEqual({UNKNOWN}, fleet.find_everywhere("lost"))
        fleet.run(20.0)
        for router in fleet.routers.values():
            router.registry.replace_all(make_targets(("v2",)))
        fleet.run(HISTORY_SECONDS)
        self.assertEqual({"v2"}, fleet.find_everywhere("lost"))

    def test_a_version_that_only_another_router_knows_counts(self) -> None:
        fleet = self.start(3, versions=("v1",))
        fleet.run(2 * HISTORY_SECONDS)
        for name in ("r1", "r2"):
            fleet.routers[name].registry.replace_all(make_targets(("v1", "v2")))
        self.assertEqual({UNKNOWN}, fleet.find_everywhere("lost"))

    # Guards against a stream that goes on at another version, taken up at a router out of step.
    def test_a_router_cut_off_from_all_others_takes_its_own_past_for_no_proof(self) -> None:
        for count in SIZES:
            fleet = self.start(count, versions=("v1",))
            fleet.run(2 * HISTORY_SECONDS)
            others = set(fleet.routers) - {"r0"}
            alone = fleet.routers["r0"].members
            everyone = list(alone.live())
            fleet.network.cut({"r0"}, others)
            fleet.run(6.0)
            # It takes the others for dead, and learns of the new version later than they do.
            alone.change([alone.own])
            for name in others:
                fleet.routers[name].registry.replace_all(make_targets(("v1", "v2")))
            fleet.begin("s", NEW, "r1")
            fleet.run(0.5)
            self.assertEqual(UNKNOWN, fleet.find("r0", "s").unwrap_err().code.name)
            fleet.network.heal()
            alone.change(everyone)
            fleet.run(0.5)
            self.assertEqual(NEW, fleet.find("r0", "s").unwrap())

    def test_the_last_router_of_a_fleet_goes_on_with_streams_of_its_own(self) -> None:
        fleet = self.start(2, versions=("v1",))
        fleet.run(2 * HISTORY_SECONDS)
        fleet.begin("s", OLD, "r0")
        fleet.kill("r1")
        self.assertEqual({UNKNOWN}, fleet.find_everywhere("lost"))
        self.assertEqual({"v1"}, fleet.find_everywhere("s"))

    def test_a_router_that_never_had_others_vouches_alone(self) -> None:
        fleet = self.start(1, versions=("v1",))
        fleet.run(HISTORY_SECONDS + 1.0)
        self.assertEqual({"v1"}, fleet.find_everywhere("lost"))

    def test_a_router_that_started_just_now_is_told_by_the_others(self) -> None:
        fleet = self.start(3, versions=("v1",))
        fleet.run(2 * HISTORY_SECONDS)
        fleet.start("r3")
        self.assertEqual("v1", fleet.find("r3", "lost").unwrap().software_version)

    def test_what_was_observed_outlives_the_restart_of_all_routers_in_turn(self) -> None:
        for versions, expected in ((("v1",), "v1"), (("v1", "v2"), UNKNOWN)):
            fleet = self.start(3, versions=versions)
            fleet.run(2 * HISTORY_SECONDS)
            for router in fleet.routers.values():
                router.registry.replace_all(make_targets(("v1",)))
            fleet.versions = ("v1",)
            for number in range(3):
                fleet.kill(f"r{number}")
                fleet.start(f"r{number}")
                fleet.run(3.0)
            self.assertEqual({expected}, fleet.find_everywhere("lost"))

    def test_while_there_is_one_version_records_cost_no_messages(self) -> None:
        fleet = self.start(7, versions=("v1",))
        fleet.run(2 * HISTORY_SECONDS)
        before = fleet.network.sent_messages
        for number in range(STREAMS):
            fleet.begin(f"s{number}", OLD)
        fleet.run(1.0)
        self.assertEqual(before, fleet.network.sent_messages)

    def test_running_streams_are_known_once_a_second_version_comes(self) -> None:
        for count in SIZES:
            fleet = self.start(count, versions=("v1",))
            fleet.run(2 * HISTORY_SECONDS)
            for number in range(STREAMS):
                fleet.begin(f"s{number}", OLD)
            for router in fleet.routers.values():
                router.registry.replace_all(make_targets(("v1", "v2")))
            fleet.run(0.5)
            fleet.kill("r0")
            for number in range(STREAMS):
                found = fleet.find(f"r{1 + number % (count - 1)}", f"s{number}", seconds=0.1)
                self.assertEqual(OLD, found.unwrap())

    def test_routers_that_all_started_just_now_refuse_unless_the_whole_system_did(self) -> None:
        fleet = self.start(0, versions=("v1",))
        fleet.start("r0")
        fleet.start("r1")
        self.assertEqual({UNKNOWN}, fleet.find_everywhere("lost"))
        fleet.start("r2", first=True)
        fleet.run(5.0)
        self.assertEqual({"v1"}, fleet.find_everywhere("lost"))

    def test_a_paused_router_or_one_without_the_store_may_have_missed_a_version(self) -> None:
        for miss in (
            lambda router: router.members.paused(9.0),
            lambda router: router.registry.on_store_lost(),
            lambda router: router.registry.on_store_recovered(),
        ):
            fleet = self.start(1, versions=("v1",))
            fleet.run(2 * HISTORY_SECONDS)
            self.assertEqual({"v1"}, fleet.find_everywhere("lost"))
            miss(fleet.routers["r0"])
            self.assertEqual({UNKNOWN}, fleet.find_everywhere("lost"))

    def test_targets_that_announce_no_version_count_as_one(self) -> None:
        fleet = self.start(3, versions=("",))
        self.assertEqual({""}, fleet.find_everywhere("lost"))


if __name__ == "__main__":
    unittest.main()
