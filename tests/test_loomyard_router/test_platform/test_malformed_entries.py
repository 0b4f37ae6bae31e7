"""Tests of malformed entries: they yield no target or configuration and don't stop the feed.

Anybody may write to the store. Without validation, entries with a list as the service, an address
without a port, an unknown or missing state or 1e18 slots became usable targets, deeply nested JSON
raised out of the decoder, and a record without a key stopped the feed for good.
"""

from __future__ import annotations

import json
import random
import struct
import unittest
from typing import Any
from unittest import mock

from loomyard_router.announced.target_feed import TargetFeed
from loomyard_router.announced.target_registry import TargetRegistry
from loomyard_router.feeds.keyed_record import KeyedRecord
from loomyard_router.feeds.unreadable_entries import UnreadableEntries
from loomyard_router.feeds.unreadable_entry import MAX_DETAIL_CHARS, UnreadableReason
from loomyard_router.platform.documents import decode_configuration, decode_target
from loomyard_router.platform.store_feed import _decode_batch
from loomyard_router.routes.route_table_consumer import RouteTableConsumer
from loomyard_router.routes.route_table_holder import RouteTableHolder
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_platform.test_documents import document

GOOD: dict[str, Any] = {
    "service": "one",
    "address": "10.0.0.1:80",
    "zone": "north",
    "version": "v1",
    "slots": 48,
    "state": "ready",
    "cold_left_ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq_no": 4,
}
INVALID: dict[str, tuple[object, ...]] = {
    "service": (["one"], 1, "", None, "a\r\nb", "\ud800", {"x": 1}, "x" * 300),
    "address": (80, "10.0.0.1", "10.0.0.1:", "10.0.0.1:99999999", "10.0.0.1:0", ":80", "x:80", []),
    "state": ("new", None, 1, True, ["ready"]),
    "slots": ("48", 1e18, 10**18, -1, 0, 48.5, True, float("nan"), []),
    "zone": (7, ["north"], "nor th", {}),
    "cold_left_ms": ("3", -1, float("inf"), True, []),
    "version": ("x" * 300, ["x"] * 300),
    "born": ("1", -1, 1.5, 10**30, True),
}
INVALID_KEYS = ("", "a\r\nX: y", "ä", "x" * 300)
DEEP = b"[" * 200_000
ROUNDS = 4_000
VALUES: tuple[object, ...] = (
    None,
    True,
    0,
    -1,
    1,
    3.5,
    1e18,
    10**40,
    # More than a float holds, and fewer digits than Python refuses to read.
    10**400,
    float("nan"),
    float("inf"),
    "",
    "x",
    "\r\n",
    "\ud800",
    "y" * 5_000,
    [],
    [[]],
    {},
    {"service": {}},
)


def record(offset: int, key: str, value: bytes | None) -> KeyedRecord:
    return KeyedRecord(key=key, value=value, offset=offset)


class MalformedEntriesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = TargetRegistry(FakeClock())
        self.unreadable = UnreadableEntries()
        self.feed = TargetFeed(self.registry, decode_target, self.unreadable)
        self.feed.apply_listing([record(n, f"t{n}", json.dumps(GOOD).encode()) for n in (0, 1)], "")

    def usable(self) -> list[str]:
        return [target.id for target in self.registry.usable("one")]

    def test_an_entry_with_one_invalid_field_yields_no_target(self) -> None:
        offset = 10
        for field, values in INVALID.items():
            for value in values:
                with self.subTest(field=field, value=value):
                    if value is None and field == "zone":
                        continue
                    offset += 1
                    bad = json.dumps(GOOD | {field: value}).encode()
                    self.feed.apply_records([record(offset, "t-bad", bad)])
                    self.assertEqual(["t0", "t1"], self.usable())

    def test_an_entry_with_an_invalid_key_yields_no_target(self) -> None:
        for key in INVALID_KEYS:
            self.feed.apply_records([record(10, key, json.dumps(GOOD).encode())])
        self.assertEqual(["t0", "t1"], self.usable())
        self.assertEqual(len(INVALID_KEYS), self.unreadable.counts["targets", UnreadableReason.KEY])

    # Guards against routers that stop following the targets because of one number.
    def test_a_number_that_no_float_holds_stops_no_feed(self) -> None:
        data = json.dumps(GOOD | {"cold_left_ms": 10**400}).encode()
        self.feed.apply_records([record(10, "t-bad", data), record(11, "t0", None)])
        self.assertEqual(["t1"], self.usable())
        for name in ("timeout_ms", "slo_ms", "gap_slo_ms"):
            route = {"name": "r", "host": "h", "path_prefix": "/", "service": "one", name: 10**400}
            document = {"version": 1, "routes": [route], "services": []}
            self.assertTrue(decode_configuration(json.dumps(document).encode()).is_err())

    def test_nesting_that_can_be_read_but_not_shown_does_not_raise(self) -> None:
        for depth in range(100, 1000, 10):
            value = b"[" * depth + b"]" * depth
            data = json.dumps(GOOD | {"service": "SERVICE"}).encode().replace(b'"SERVICE"', value)
            self.assertTrue(decode_target("t", data).is_err())

    def test_malformed_json_does_not_raise(self) -> None:
        for number, data in enumerate((b"", b"\xff\xfe", DEEP, b'{"a":' * 100_000, b"1" * 9_000)):
            self.assertTrue(decode_target("t", data).is_err())
            self.assertTrue(decode_configuration(data).is_err())
            self.feed.apply_records([record(number, "t-bad", data)])
        self.assertEqual(["t0", "t1"], self.usable())

    def test_a_target_whose_entry_becomes_unreadable_is_not_used_until_it_is_readable(self) -> None:
        self.feed.apply_records([record(2, "t0", b"{}")])
        self.assertEqual(["t1"], self.usable())
        self.feed.apply_records([record(3, "t0", json.dumps(GOOD).encode())])
        self.assertEqual(["t0", "t1"], self.usable())

    def test_a_listing_of_unreadable_entries_only_leaves_no_usable_target(self) -> None:
        self.feed.apply_listing([record(2, "t0", b"{}"), record(3, "t1", b"{}")], "")
        self.assertEqual([], self.usable())

    def test_an_entry_that_is_read_again_is_logged_once_and_truncated(self) -> None:
        with mock.patch("loomyard_router.feeds.unreadable_entries.emit") as emit:
            for _ in range(5):
                self.feed.apply_records([record(7, "t-bad", b"[" + b"1" * 100_000)])
        emit.assert_called_once()
        self.assertLessEqual(len(emit.call_args.kwargs["detail"]), MAX_DETAIL_CHARS)
        self.assertEqual(1, self.unreadable.counts.total())

    def test_a_record_without_a_readable_key_does_not_block_later_records(self) -> None:
        good = bytes([2]) + b"t2" + json.dumps(GOOD).encode()
        contents = [b"", b"\xff", bytes([2]) + b"\xff\xfe" + b"{}", good]
        data = struct.pack(">QQ", 9, 5)
        data += b"".join(struct.pack(">I", len(one)) + one for one in contents)
        batch = _decode_batch(data, 5, 0).unwrap()
        self.assertEqual(9, batch.position.offset)
        self.feed.apply_records(batch.records)
        self.assertEqual(["t0", "t1", "t2"], self.usable())


class MalformedConfigurationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.holder = RouteTableHolder(decode_configuration)
        self.unreadable = UnreadableEntries()
        self.feed = RouteTableConsumer(self.holder, "config", self.unreadable)

    def test_the_last_readable_version_is_in_force(self) -> None:
        versions = [document(version=1), document(version=2), b"{", document(version="3")]
        self.feed.apply_records([record(n, "config", data) for n, data in enumerate(versions)])
        self.assertEqual(2, self.holder.version)
        self.feed.apply_records([record(5, "config", document(version=4, routes=[{}]))])
        self.assertEqual(2, self.holder.version)
        self.feed.apply_records([record(6, "config", document(version=5))])
        self.assertEqual(5, self.holder.version)
        self.assertEqual(3, self.unreadable.counts.total())


class MutatedEntriesTest(unittest.TestCase):
    """Mutate valid entries by a fixed seed: accepted ones are valid, and others stay usable."""

    def setUp(self) -> None:
        self.rng = random.Random(20)

    def mutate(self, value: Any) -> Any:
        rng = self.rng
        if isinstance(value, dict) and value and rng.random() < 0.8:
            key = rng.choice(sorted(value))
            changed = dict(value)
            if rng.random() < 0.2:
                del changed[key]
            else:
                changed[key] = self.mutate(value[key])
            return changed
        if isinstance(value, list) and value and rng.random() < 0.8:
            at = rng.randrange(len(value))
            return [*value[:at], self.mutate(value[at]), *value[at + 1 :]]
        return rng.choice(VALUES)

    def encode(self, value: Any) -> bytes:
        data = json.dumps(value).encode()
        choice = self.rng.random()
        if choice < 0.1:
            return data[: self.rng.randrange(len(data) + 1)]
        if choice < 0.2:
            at = self.rng.randrange(len(data) + 1)
            return data[:at] + self.rng.randbytes(3) + data[at:]
        return data

    def test_targets(self) -> None:
        registry = TargetRegistry(FakeClock())
        feed = TargetFeed(registry, decode_target, UnreadableEntries())
        feed.apply_listing([record(0, "good", json.dumps(GOOD).encode())], "")
        accepted = 0
        for offset in range(1, ROUNDS):
            value = self.encode(self.mutate(GOOD))
            feed.apply_records([record(offset, "mutated", value)])
            self.assertIn("good", [target.id for target in registry.usable("one")])
            for target in registry.listed():
                host, _, port = target.address.rpartition(":")
                self.assertEqual(4, len([int(part) for part in host.split(".")]))
                self.assertTrue(0 < int(port) < 65536)
                self.assertTrue(type(target.slots) is int and 1 <= target.slots <= 100_000)
                self.assertTrue(0.0 <= target.cold_seconds <= 86_400.0)
                f"{target.id} {target.service} {target.data_centre}".encode("latin-1")
            accepted += len(registry.listed()) - 1
        self.assertGreater(accepted, ROUNDS / 20)
        self.assertLess(accepted, ROUNDS)

    def test_configurations(self) -> None:
        good = json.loads(document())
        holder = RouteTableHolder(decode_configuration)
        feed = RouteTableConsumer(holder, "config", UnreadableEntries())
        feed.apply_records([record(0, "config", document())])
        adopted = 0
        for offset in range(1, ROUNDS):
            before = holder.version
            mutated = self.mutate(good | {"version": before + 1})
            feed.apply_records([record(offset, "config", self.encode(mutated))])
            self.assertGreaterEqual(holder.version, before)
            adopted += holder.version > before
            table = holder.table
            assert table is not None
            for route in table.find("a.example", "/a/b"), *(
                one for routes in table.routes_by_host.values() for one in routes.values()
            ):
                if route is not None:
                    route.choose_service("key").encode("latin-1")
        self.assertGreater(adopted, ROUNDS / 20)


if __name__ == "__main__":
    unittest.main()
