"""Tests of decoding documents of the platform's store."""

from __future__ import annotations

import json
import unittest

from loomyard_router.platform.documents import decode_configuration, decode_target
from loomyard_router.routes.kind import RouteKind

ROUTE = {
    "name": "r",
    "host": "A.example",
    "path_prefix": "/a/",
    "route_kind": "streaming",
    "timeout_ms": 15000,
    "slo_ms": 400,
    "priority": 1,
    "split": [{"service": "one", "weight": 90}, {"service": "two", "weight": 10}],
    "max_attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gap_slo_ms": 200,
    "added_later": {"x": 1},
}
SERVICE = {"name": "one", "max_conns": 300, "engine": {"slots": 48, "kv_capacity": 986267}}


def document(**changes: object) -> bytes:
    fields: dict[str, object] = {
        "version": 7,
        "routes": [ROUTE],
        "services": [SERVICE, {"name": "two"}],
        "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000, "tokens_per_s": 300000},
        "tenants": [{"name": "north", "api_keys": ["k1", "k2"], "priority": 1}],
    }
    return json.dumps(fields | changes).encode()


class TestConfiguration(unittest.TestCase):
    def test_each_field_is_decoded(self) -> None:
        table = decode_configuration(document()).unwrap()
        route = table.find("a.example", "/a/b/c")
        assert route is not None
        self.assertEqual(7, table.version)
        self.assertIs(RouteKind.STREAM, route.kind)
        self.assertTrue(route.repeatable)
        self.assertEqual((15.0, 0.4, 0.2), (route.timeout, route.objective, route.gap_objective))
        self.assertEqual([90.0, 10.0], [share.weight for share in route.weighted_services])
        engine = table.services["one"].engine
        assert engine is not None
        self.assertEqual((48, 986267), (engine.slots, engine.memory_tokens))
        self.assertIsNone(table.services["two"].engine)
        account = table.authenticate("k2")
        assert account is not None
        self.assertEqual("north", account.name)
        self.assertEqual((16384, 15.0), (table.limits.head_bytes, table.limits.idle_seconds))

    def test_without_accounts_no_key_is_needed(self) -> None:
        table = decode_configuration(document(tenants=None)).unwrap()
        self.assertFalse(table.keys_required)
        self.assertTrue(decode_configuration(document(tenants=[])).unwrap().keys_required)

    def test_requests_of_an_unknown_kind_are_not_repeated(self) -> None:
        table = decode_configuration(document(routes=[ROUTE | {"route_kind": "new"}])).unwrap()
        route = table.find("a.example", "/a/")
        assert route is not None
        self.assertFalse(route.repeatable)

    def test_an_unreadable_configuration_is_an_error(self) -> None:
        for data in (b"", b"{}", b"[]", b"null", document(version="x"), document(routes=[{}])):
            with self.subTest(data=data[:20]):
                self.assertTrue(decode_configuration(data).is_err())


class TestTarget(unittest.TestCase):
    def test_an_announcement_is_decoded(self) -> None:
        data = {"service": "one", "address": "10.0.0.1:80", "zone": "z", "slots": 48}
        target = decode_target("i-1", json.dumps(data | {"state": "ready"}).encode()).unwrap()
        self.assertEqual(
            ("i-1", "one", "z", 48), (target.id, target.service, target.data_centre, 48)
        )
        self.assertFalse(target.draining)
        leaving = decode_target("i-1", json.dumps(data | {"state": "draining"}).encode())
        self.assertTrue(leaving.unwrap().draining)

    def test_a_software_version_is_any_text_and_may_be_missing(self) -> None:
        data = {"service": "one", "address": "10.0.0.1:80", "state": "ready"}
        for value, read in (
            ("v1.2", "v1.2"),
            ("1.2 beta", "1.2 beta"),
            (None, ""),
            (7, "7"),
            ("\ud800", '"\\ud800"'),
            ({"b": 1, "a": 2}, '{"a": 2, "b": 1}'),
        ):
            target = decode_target("i-1", json.dumps(data | {"version": value}).encode()).unwrap()
            self.assertEqual(read, target.software_version)
        self.assertEqual(
            "", decode_target("i-1", json.dumps(data).encode()).unwrap().software_version
        )

    def test_an_unreadable_announcement_is_an_error(self) -> None:
        for data in (b"", b"{}", b"[]", b'{"service": "one"}'):
            self.assertTrue(decode_target("i-1", data).is_err())


if __name__ == "__main__":
    unittest.main()
