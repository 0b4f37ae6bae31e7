"""Tests of links over sockets of the loopback interface."""

from __future__ import annotations

import datetime
import ipaddress
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

import gevent
from attrs import frozen
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect

from loomyard.clock import SystemClock
from loomyard.errors import ResultCode
from loomyard_router.members.membership import Member, MemberState
from loomyard_router.peers import link as link_module
from loomyard_router.peers.fleet_secret import make_fleet_secret
from loomyard_router.peers.message_types import peer_message
from loomyard_router.peers.pending import MAX_PENDING
from loomyard_router.peers.sockets import bind_peer_sockets
from loomyard_router.peers.tls import make_peer_tls
from loomyard_router.peers.traffic import TrafficCounters
from loomyard_router.peers.websocket_links import IDLE_SECONDS, WebSocketLinks
from loomyard_standins.fake_clock import FakeClock

TIMEOUT = 5.0


@peer_message("test-question")
@frozen(kw_only=True)
class Question:
    number: int
    text: str = ""


@peer_message("test-answer")
@frozen(kw_only=True)
class Answer:
    number: int


class FakeMembers:
    """The part of ``Membership`` that links use."""

    def __init__(self, own: Member, known: dict[str, Member]) -> None:
        self.own = own
        self.known = known
        self.suspected: list[str] = []
        self.changed = lambda: None

    def find(self, name: str) -> Member | None:
        return self.known.get(name)

    def suspect(self, name: str) -> None:
        self.suspected.append(name)

    def subscribe(self, changed) -> None:
        self.changed = changed


class Router:
    """The links of one router and the messages that they received."""

    def __init__(
        self, known: dict[str, Member], name: str, *, secret="s", tls=None, start=1, clock=None
    ):
        self.sockets = bind_peer_sockets("127.0.0.1:0")
        own = Member(name=name, incarnation=start, address=self.sockets.address, data_centre="dc-1")
        known[name] = own
        self.members = FakeMembers(own, known)
        self.clock = clock or SystemClock()
        self.traffic = TrafficCounters()
        self.received: list[tuple[str, int, Question]] = []
        self.links = WebSocketLinks(
            members=self.members,
            secret=make_fleet_secret([secret]),
            listener=self.sockets.stream,
            clock=self.clock,
            traffic=self.traffic,
            tls=tls,
        )
        self.links.handle(Question, self._receive)
        self.links.start()

    def stop(self) -> None:
        self.links.stop()
        self.sockets.close()

    def request(self, to: str, number: int, text: str = ""):
        deadline = self.clock.now() + TIMEOUT
        return self.links.request(to, Question(number=number, text=text), deadline)

    def _receive(self, sender: Member, question: Question) -> Answer | None:
        self.received.append((sender.name, sender.incarnation, question))
        if question.text == "fail":
            raise ValueError("planned")
        return Answer(number=question.number + 1) if question.number else None


class WebSocketLinksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.known: dict[str, Member] = {}

    def router(self, name: str, **options) -> Router:
        router = Router(self.known, name, **options)
        self.addCleanup(router.stop)
        return router

    def wait(self, condition) -> None:
        with gevent.Timeout(TIMEOUT):
            while not condition():
                gevent.sleep(0.001)

    def test_tcp_and_udp_share_a_free_port(self) -> None:
        sockets = bind_peer_sockets("127.0.0.1:0")
        self.addCleanup(sockets.close)
        self.assertEqual(sockets.stream.getsockname(), sockets.datagram.getsockname())

    def test_messages_and_requests_in_both_directions_use_one_link(self) -> None:
        a, b = self.router("a"), self.router("b")
        self.assertTrue(a.links.send("b", Question(number=1)), "waits for the link")
        self.assertEqual(a.request("b", 5).unwrap(), Answer(number=6))
        self.assertEqual(b.request("a", 7).unwrap(), Answer(number=8))
        self.assertIsNone(b.request("a", 0).unwrap())
        self.assertEqual([question.number for _, _, question in b.received], [1, 5])
        self.assertEqual({(name, start) for name, start, _ in b.received}, {("a", 1)})
        sent = a.traffic.kinds["test-question"]
        self.assertEqual(sent.sent_messages, 2)
        self.assertEqual(
            b.traffic.kinds["test-question"].received_bytes,
            sent.sent_bytes,
            "both sides count the same bytes",
        )
        self.assertEqual(len(a.links._links.all()), 1)

    # Guards against reports of a lagging router that come so late that they count as missing.
    def test_an_urgent_request_waits_for_no_task(self) -> None:
        a, _ = self.router("a"), self.router("b")
        a.request("b", 1).unwrap()
        waiting: list[object] = []
        with patch.object(link_module, "start_task", lambda *task: waiting.append(task)):
            deadline = a.clock.now() + TIMEOUT
            asked = gevent.spawn(a.links.request, "b", Question(number=5), deadline, urgent=True)
            # The answer needs a task at the other router, which has none here.
            self.wait(lambda: len(waiting) == 2)
            asked.kill()
        self.assertEqual(2, a.traffic.kinds["test-question"].sent_messages)

    def test_of_two_links_opened_at_once_both_sides_choose_the_same(self) -> None:
        a, b = self.router("a"), self.router("b")
        requests = [gevent.spawn(a.request, "b", 1), gevent.spawn(b.request, "a", 1)]
        gevent.joinall(requests, raise_error=True)
        chosen = (a.links._links.find("b"), b.links._links.find("a"))
        self.assertEqual({link.opener for link in chosen}, {"a"})

    def test_failed_handlers_and_unknown_peers_are_reported(self) -> None:
        a, _ = self.router("a"), self.router("b")
        self.assertEqual(a.request("b", 1, "fail").unwrap_err().code, ResultCode.PEER_FAILED)
        self.assertEqual(a.request("b", 1).unwrap(), Answer(number=2), "the link stays open")
        self.assertEqual(a.request("nobody", 1).unwrap_err().code, ResultCode.PEER_UNREACHABLE)
        self.assertFalse(a.links.send("nobody", Question(number=1)))

    def test_peers_without_the_secret_are_refused(self) -> None:
        a, b = self.router("a"), self.router("b", secret="other")
        self.assertTrue(a.request("b", 1).is_err())
        self.wait(lambda: b.traffic.kinds["handshake"].refused_messages == 1)
        self.assertEqual(b.received, [])
        self.assertEqual(a.members.suspected, ["b"])

    def test_frames_before_the_handshake_are_limited(self) -> None:
        b = self.router("b")
        with connect(f"ws://{b.sockets.address}/", compression=None) as connection:
            connection.send(bytes(5000))
            with self.assertRaises(ConnectionClosed) as caught:
                connection.recv(timeout=TIMEOUT)
        self.assertEqual(caught.exception.rcvd.code, 1009)

    def test_large_messages_pass_after_the_handshake(self) -> None:
        a, b = self.router("a"), self.router("b")
        self.assertEqual(a.request("b", 1, "x" * 900_000).unwrap(), Answer(number=2))
        self.assertEqual(b.request("a", 1, "x" * 900_000).unwrap(), Answer(number=2))
        self.assertFalse(a.links.send("b", Question(number=1, text="x" * (1 << 20))))

    def test_a_new_incarnation_replaces_the_link_and_the_old_one_is_refused(self) -> None:
        a, old = self.router("a"), self.router("b")
        old.request("a", 1).unwrap()
        new = self.router("b", start=2)
        a.members.changed()
        new.request("a", 1).unwrap()
        self.assertEqual([start for _, start, _ in a.received], [1, 2])
        self.wait(lambda: not old.links._links.all())
        self.assertTrue(old.request("a", 1).is_err())
        self.assertEqual(a.request("b", 1).unwrap(), Answer(number=2))
        self.assertEqual(len(new.received), 1)

    def test_a_lost_link_triggers_a_probe_and_fails_requests(self) -> None:
        a, b = self.router("a"), self.router("b")
        a.request("b", 1).unwrap()
        b.stop()
        self.wait(lambda: a.members.suspected == ["b"])
        self.assertTrue(a.request("b", 1).is_err())

    def test_messages_dropped_as_no_link_opened_are_counted(self) -> None:
        a, b = self.router("a"), self.router("b")
        b.stop()
        sent = [a.links.send("b", Question(number=1)) for _ in range(MAX_PENDING + 6)]
        self.assertEqual(sum(sent), MAX_PENDING)
        self.wait(lambda: a.members.suspected == ["b"])
        counts = a.traffic.kinds["test-question"]
        self.wait(lambda: counts.dropped_messages == MAX_PENDING + 6)
        self.assertFalse(a.links.send("b", Question(number=1)), "no second attempt at once")

    def test_links_to_dead_routers_are_closed(self) -> None:
        a, b = self.router("a"), self.router("b")
        a.request("b", 1).unwrap()
        own = b.members.own
        self.known["b"] = Member(
            name="b",
            incarnation=1,
            address=own.address,
            data_centre="dc-1",
            state=MemberState.DEAD,
        )
        a.members.changed()
        self.wait(lambda: not a.links._links.all())
        self.assertFalse(a.links.send("b", Question(number=1)))
        self.assertEqual(a.members.suspected, [])

    def test_a_full_queue_drops_and_counts(self) -> None:
        a, _ = self.router("a"), self.router("b")
        a.request("b", 1).unwrap()
        # No other task runs between these calls, so the queue does not drain.
        sent = [a.links.send("b", Question(number=1)) for _ in range(5000)]
        self.assertEqual(sum(sent), link_module.MAX_QUEUED_MESSAGES)
        dropped = a.traffic.kinds["test-question"].dropped_messages
        self.assertEqual(dropped, 5000 - link_module.MAX_QUEUED_MESSAGES)
        self.wait(lambda: a.links.send("b", Question(number=1)))
        self.assertEqual(a.request("b", 1).unwrap(), Answer(number=2))

    def test_an_idle_link_is_closed_and_opened_again(self) -> None:
        clock = FakeClock()
        a, _b = self.router("a", clock=clock), self.router("b", clock=clock)
        a.request("b", 1).unwrap()
        for _ in range(30):
            gevent.sleep(0)
            clock.advance(1.0)
        self.assertEqual(len(a.links._links.all()), 1)
        while a.links._links.all():
            clock.advance(1.0)
            gevent.sleep(0)
        self.assertGreater(clock.now(), IDLE_SECONDS)
        self.assertEqual(a.request("b", 1).unwrap(), Answer(number=2))

    def test_tls_requires_a_certificate_of_the_fleet(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            ours = make_tls(Path(folder), "ours")
            theirs = make_tls(Path(folder), "theirs")
        a, b = self.router("a", tls=ours), self.router("b", tls=ours)
        self.assertEqual(a.request("b", 1).unwrap(), Answer(number=2))
        self.assertEqual(b.request("a", 1).unwrap(), Answer(number=2))
        self.assertTrue(self.router("c", tls=theirs).request("b", 1).is_err())
        self.assertTrue(self.router("d").request("b", 1).is_err())
        self.assertEqual([name for name, _, _ in b.received], ["a"])


def make_tls(folder: Path, name: str):
    """Make the TLS contexts of a self-signed certificate that is its own authority."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]),
            critical=False,
        )
        .sign(key, hashes.SHA256())
    )
    pem, pem_key = folder / f"{name}.pem", folder / f"{name}.key"
    pem.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    pem_key.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return make_peer_tls(certificate=str(pem), key=str(pem_key), authority=str(pem))


if __name__ == "__main__":
    unittest.main()
