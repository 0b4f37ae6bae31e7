"""Tests of the handshake and of authenticated frames."""

from __future__ import annotations

import unittest

import cbor2
import gevent
from gevent.queue import Queue
from result import Ok, Result

from loomyard_router.members.membership import Member
from loomyard_router.peers.fleet_secret import make_fleet_secret
from loomyard_router.peers.frames import Envelope, FrameOpener, FrameSealer, encode_envelope
from loomyard_router.peers.handshake import LinkSession, accept_link, open_link


class QueueChannel:
    """One end of a channel; ``tampered`` replaces received messages by their number."""

    def __init__(self, inward: Queue, outward: Queue) -> None:
        self.sent: list[bytes] = []
        self.tampered: dict[int, bytes] = {}
        self._inward = inward
        self._outward = outward
        self._received = 0

    def send(self, message: bytes) -> None:
        self.sent.append(message)
        self._outward.put(message)

    def recv(self, timeout: float | None = None) -> bytes:
        message = self._inward.get()
        self._received += 1
        tampered = self.tampered.get(self._received - 1, message)
        message = tampered(message) if callable(tampered) else tampered
        if message is None:
            raise TimeoutError
        return message


def member(name: str) -> Member:
    return Member(name=name, incarnation=1, address=f"{name}:1", data_centre="a")


class HandshakeTest(unittest.TestCase):
    def run_handshake(
        self,
        opener_secrets: list[str],
        acceptor_secrets: list[str],
        *,
        acceptor_name: str = "b",
        admit=lambda peer: "",
        tampered: dict[int, bytes] | None = None,
        tampered_for_opener: dict[int, bytes] | None = None,
    ) -> tuple[Result, Result]:
        to_a, to_b = Queue(), Queue()
        self.at_a, self.at_b = QueueChannel(to_a, to_b), QueueChannel(to_b, to_a)
        self.at_a.tampered = tampered_for_opener or {}
        self.at_b.tampered = tampered or {}

        def run(function, out, *arguments):
            outcome = function(*arguments)
            out.put(None)
            return outcome

        a = make_fleet_secret(opener_secrets)
        b = make_fleet_secret(acceptor_secrets)
        tasks = [
            gevent.spawn(run, open_link, to_b, self.at_a, member("a"), acceptor_name, a),
            gevent.spawn(run, accept_link, to_a, self.at_b, member("b"), b, admit),
        ]
        gevent.joinall(tasks, timeout=5, raise_error=True)
        return tasks[0].value, tasks[1].value

    def test_both_sides_derive_the_same_keys(self) -> None:
        opener, acceptor = (outcome.unwrap() for outcome in self.run_handshake(["s"], ["s"]))
        self.assertEqual((opener.peer.name, acceptor.peer.name), ("b", "a"))
        self.assertEqual(opener.send_key, acceptor.receive_key)
        self.assertEqual(opener.receive_key, acceptor.send_key)
        self.assertNotEqual(opener.send_key, opener.receive_key)

    def test_secrets_can_be_rotated_one_router_at_a_time(self) -> None:
        for pair in ((["old", "new"], ["old"]), (["new", "old"], ["old", "new"]), (["n"], ["n"])):
            outcomes = self.run_handshake(*pair)
            self.assertTrue(all(isinstance(outcome, Ok) for outcome in outcomes), pair)

    def test_peers_without_the_secret_are_refused(self) -> None:
        for opener, acceptor in ((["x"], ["s"]), ([], ["s"])):
            outcomes = self.run_handshake(opener, acceptor)
            self.assertTrue(all(outcome.is_err() for outcome in outcomes))

    def test_an_acceptor_without_the_secret_is_refused(self) -> None:
        self.run_handshake(["s"], ["s"])
        hello, challenge = cbor2.loads(self.at_a.sent[0]), cbor2.loads(self.at_b.sent[0])
        self.assertEqual(challenge[2], hello[3][0], "the key id can be copied")
        challenge[3] = bytes(len(challenge[3]))
        opener, _ = self.run_handshake(
            ["s"], ["s"], tampered_for_opener={0: cbor2.dumps(challenge)}
        )
        self.assertIn("proof", opener.unwrap_err().detail)

    def test_a_replayed_handshake_is_refused(self) -> None:
        self.run_handshake(["s"], ["s"])
        recorded = dict(enumerate(self.at_a.sent))
        _, acceptor = self.run_handshake(["s"], ["s"], tampered=recorded)
        self.assertIn("proof", acceptor.unwrap_err().detail)

    def test_a_proof_is_bound_to_the_names(self) -> None:
        _, acceptor = self.run_handshake(["s"], ["s"], acceptor_name="c")
        self.assertTrue(acceptor.is_err())

        def rename(hello: bytes) -> bytes:
            fields = cbor2.loads(hello)
            fields[0][0] = "z"
            return cbor2.dumps(fields)

        outcomes = self.run_handshake(["s"], ["s"], tampered={0: rename})
        self.assertTrue(all(outcome.is_err() for outcome in outcomes))

    def test_a_peer_that_is_not_admitted_gets_no_welcome(self) -> None:
        outcomes = self.run_handshake(["s"], ["s"], admit=lambda peer: f"old {peer.name}")
        self.assertTrue(all(outcome.is_err() for outcome in outcomes))


class FrameTest(unittest.TestCase):
    def setUp(self) -> None:
        session = LinkSession(peer=None, send_key=b"k" * 32, receive_key=b"k" * 32)
        self.sealer = FrameSealer(key=session.send_key)
        self.opener = FrameOpener(key=session.receive_key)

    def seal(self, *kinds: str) -> bytes:
        return self.sealer.seal([encode_envelope(Envelope(kind, [1])) for kind in kinds])

    def test_frames_in_order_are_accepted(self) -> None:
        for kinds in (("a",), ("b", "c")):
            opened = self.opener.open(self.seal(*kinds)).unwrap()
            self.assertEqual([envelope.kind for envelope, _ in opened], list(kinds))

    def test_replayed_reordered_forged_and_truncated_frames_are_refused(self) -> None:
        first, second = self.seal("a"), self.seal("b")
        for frame in (second, first[:-1], first[:12], b"", bytes(12) + first[12:]):
            self.assertTrue(self.opener.open(frame).is_err())
        self.opener.open(first).unwrap()
        self.assertTrue(self.opener.open(first).is_err())
        self.opener.open(second).unwrap()

    def test_malformed_envelopes_under_the_right_key_are_refused(self) -> None:
        for body in (b"\xff", cbor2.dumps(7), cbor2.dumps([1]), cbor2.dumps(["a", 1, "x", []])):
            opened = FrameOpener(key=b"q" * 32).open(FrameSealer(key=b"q" * 32).seal([body]))
            self.assertTrue(opened.is_err(), body)


if __name__ == "__main__":
    unittest.main()
