"""Tests of the fold of changes into the configuration state."""

from __future__ import annotations

import unittest

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from loomyard.codec import decode, encode
from loomyard.configuration import (
    ABSENT,
    MAX_CHANGE_BYTES,
    Change,
    ConfigState,
    Deletion,
    Put,
    Verdict,
    fold,
    fold_record,
    make_state,
)
from loomyard.objects import (
    ClientAccount,
    ConfigObject,
    Metadata,
    ObjectRef,
    Route,
    Service,
    Target,
    ref_of,
)
from loomyard.routing import Routing

REF = ObjectRef("ClientAccount", "kiosk")


def put(weight: float, based_on: int = -1) -> Change:
    account = ClientAccount(metadata=Metadata(name="kiosk"), weight=weight)
    return Change(change_id=f"c{weight}", puts=[Put(object=account, based_on=based_on)])


class FoldTest(unittest.TestCase):
    def test_the_second_of_two_concurrent_changes_is_stale(self) -> None:
        state, first = fold(ConfigState(), 0, put(1.0))
        state, second = fold(state, 1, put(2.0))
        self.assertEqual((first, second), (Verdict.ACCEPTED, Verdict.STALE))
        self.assertEqual(state.objects[REF].object.weight, 1.0)
        self.assertEqual((state.version, state.applied), (0, 1))

    def test_a_change_based_on_the_current_version_is_accepted(self) -> None:
        state, _ = fold(ConfigState(), 4, put(1.0))
        state, verdict = fold(state, 9, put(2.0, based_on=4))
        self.assertIs(verdict, Verdict.ACCEPTED)
        self.assertEqual(state.objects[REF].object.weight, 2.0)

    def test_a_deletion_must_name_the_current_version(self) -> None:
        state, _ = fold(ConfigState(), 0, put(1.0))
        stale = Change(change_id="d1", deletions=[Deletion(ref=REF, based_on=7)])
        state, verdict = fold(state, 1, stale)
        self.assertIs(verdict, Verdict.STALE)
        good = Change(change_id="d2", deletions=[Deletion(ref=REF, based_on=0)])
        state, verdict = fold(state, 2, good)
        self.assertIs(verdict, Verdict.ACCEPTED)
        self.assertEqual(dict(state.objects), {})

    def test_a_repeated_offset_changes_nothing(self) -> None:
        state, _ = fold(ConfigState(), 3, put(1.0))
        again, verdict = fold(state, 3, put(2.0, based_on=3))
        self.assertIs(verdict, Verdict.REPEATED)
        self.assertIs(again, state)

    def test_records_are_decoded_as_encoded(self) -> None:
        change = put(2.5)
        self.assertEqual(decode(encode(change), Change).unwrap(), change)


DIGEST = "ab" * 32
SERVICE = Service(metadata=Metadata(name="assistant"))
ROUTE = Route(metadata=Metadata(name="all"), service="assistant")
TARGET = Target(metadata=Metadata(name="t"), url="http://t", services=["assistant"])


def change(*objects: ConfigObject, deletions: tuple[Deletion, ...] = ()) -> Change:
    puts = [Put(object=item) for item in objects]
    return Change(change_id="c", puts=puts, deletions=list(deletions))


def account(name: str, *digests: str) -> ClientAccount:
    return ClientAccount(metadata=Metadata(name=name), key_digests=list(digests))


FIELDS = ["change_id", "puts", "deletions", "object", "ref", "kind", "metadata", "name", "labels"]
FIELDS += ["weight", "services", "key_digests", "based_on", "snapshot_of", "version", "operations"]


class ValidationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state, verdict = fold(ConfigState(), 0, change(SERVICE, ROUTE, TARGET))
        self.assertIs(verdict, Verdict.ACCEPTED)
        self.state, _ = fold(self.state, 1, change(account("kiosk", DIGEST)))

    def assert_invalid(self, record: Change, detail: str) -> None:
        folded = fold_record(self.state, 2, encode(record))
        self.assertIs(folded.decision.verdict, Verdict.INVALID)
        self.assertIn(detail, folded.decision.detail)
        self.assertEqual((folded.state.version, folded.state.applied), (1, 2))

    def test_routes_and_targets_must_name_services_that_exist(self) -> None:
        route = Route(metadata=Metadata(name="r"), service="none")
        self.assert_invalid(change(route), "Route/r: there is no Service/none")
        target = Target(metadata=Metadata(name="u"), url="http://u", services=["none"])
        self.assert_invalid(change(target), "Target/u: there is no Service/none")

    def test_a_service_that_is_referenced_cannot_be_deleted(self) -> None:
        service, route, target = (
            Deletion(ref=ref_of(item), based_on=0) for item in (SERVICE, ROUTE, TARGET)
        )
        self.assert_invalid(change(deletions=(service, route)), "Target/t still names it")
        _, verdict = fold(self.state, 2, change(deletions=(service, route, target)))
        self.assertIs(verdict, Verdict.ACCEPTED)

    def test_a_key_belongs_to_one_account(self) -> None:
        self.assert_invalid(change(account("labels", DIGEST)), "shares a key digest")
        both = (account("a", "cd" * 32), account("b", "cd" * 32))
        self.assert_invalid(change(*both), "ClientAccount/b: shares a key digest")

    def test_a_key_can_move_to_another_account_in_one_change(self) -> None:
        puts = [Put(object=account("kiosk"), based_on=1), Put(object=account("labels", DIGEST))]
        state, verdict = fold(self.state, 2, Change(change_id="m", puts=puts))
        self.assertIs(verdict, Verdict.ACCEPTED)
        self.assertEqual(dict(state.key_owners), {DIGEST: ObjectRef("ClientAccount", "labels")})

    def test_faults_that_do_not_depend_on_the_state(self) -> None:
        self.assert_invalid(change(account("a"), account("a")), "ClientAccount/a: named twice")
        self.assert_invalid(change(), "names no object")
        absent = Deletion(ref=REF, based_on=ABSENT)
        self.assert_invalid(change(deletions=(absent,)), "names no version")

    def test_records_that_are_no_change_are_skipped(self) -> None:
        for payload in (b"", b"\xff", encode(REF), b"\0" * (MAX_CHANGE_BYTES + 1)):
            folded = fold_record(self.state, 2, payload)
            self.assertIs(folded.decision.verdict, Verdict.INVALID)
            self.assertEqual((folded.state.version, folded.state.applied), (1, 2))


PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(FIELDS) | st.text(max_size=4), inner, max_size=5),
    max_leaves=12,
)


class HostileRecordTest(unittest.TestCase):
    """An exception in the fold would stop all routers at the same record of the log."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=60) | PLAIN.map(cbor2.dumps))
    def test_no_bytes_raise_in_the_fold(self, payload: bytes) -> None:
        folded = fold_record(ConfigState(), 0, payload)
        self.assertEqual(folded.state.applied, 0)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.data())
    def test_no_field_raises_in_the_fold(self, data: st.DataObject) -> None:
        plain = cbor2.loads(encode(change(SERVICE, ROUTE, TARGET, account("kiosk", DIGEST))))
        item = plain["puts"][data.draw(st.integers(0, 3))]["object"]
        item[data.draw(st.sampled_from(sorted(item)) | st.sampled_from(FIELDS))] = data.draw(PLAIN)
        folded = fold_record(ConfigState(), 0, cbor2.dumps(plain))
        self.assertEqual(folded.state.applied, 0)
        Routing(folded.state)


NAMES = st.sampled_from(["a", "b", "c"])
OBJECTS = st.one_of(
    st.builds(
        lambda name, weight, keys: ClientAccount(
            metadata=Metadata(name=name), weight=weight, key_digests=[k * 64 for k in keys]
        ),
        NAMES,
        st.sampled_from([1.0, 2.0]),
        st.lists(st.sampled_from("0123"), max_size=2, unique=True),
    ),
    st.builds(lambda name: Service(metadata=Metadata(name=name)), NAMES),
    st.builds(
        lambda name, service, priority: Route(
            metadata=Metadata(name=name), service=service, priority=priority
        ),
        NAMES,
        NAMES,
        st.sampled_from([0, 1]),
    ),
    st.builds(
        lambda name, service: Target(
            metadata=Metadata(name=name), url="http://t", services=[service]
        ),
        NAMES,
        NAMES,
    ),
)
STEPS = st.lists(st.tuples(OBJECTS, st.booleans()), max_size=30)


class DerivedStateTest(unittest.TestCase):
    """State that is updated change by change equals state built from all objects."""

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(STEPS)
    def test_digest_key_owners_and_routing(self, steps: list[tuple[ConfigObject, bool]]) -> None:
        state, routing = ConfigState(), Routing(ConfigState())
        for offset, (item, delete) in enumerate(steps):
            ref = ref_of(item)
            found = state.get(ref)
            base = ABSENT if found is None else found.version
            record = (
                change(deletions=(Deletion(ref=ref, based_on=base),))
                if delete
                else Change(change_id="c", puts=[Put(object=item, based_on=base)])
            )
            state, verdict = fold(state, offset, record)
            if verdict is Verdict.ACCEPTED:
                before, accounts = routing, dict(routing.accounts)
                routing = Routing(state, before, [ref])
                self.assertEqual(dict(before.accounts), accounts)
        rebuilt = make_state(state.objects.values(), version=state.version, applied=state.applied)
        self.assertEqual(rebuilt, state)
        self.assertEqual(rebuilt.key_owners, state.key_owners)
        fresh = Routing(rebuilt)
        self.assertEqual(routing.accounts, fresh.accounts)
        for name in "abc":
            for owner in fresh.accounts.values():
                self.assertEqual(routing.find_route(owner, name), fresh.find_route(owner, name))
                found, expected = routing.resolve(owner, name), fresh.resolve(owner, name)
                self.assertEqual(found.is_ok(), expected.is_ok())
                if found.is_ok():
                    names = [{t.metadata.name for t in r.unwrap()} for r in (found, expected)]
                    self.assertEqual(*names)


if __name__ == "__main__":
    unittest.main()
