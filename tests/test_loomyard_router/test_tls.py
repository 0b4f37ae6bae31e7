"""Tests of TLS with callers and targets."""

from __future__ import annotations

import datetime
import ipaddress
import tempfile
import unittest
from pathlib import Path

import gevent
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from gevent.pywsgi import WSGIServer
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import SSLConnectionPool

from loomyard.clock import SystemClock
from loomyard.external.engine import TargetCall
from loomyard_router.callers.handler import CallerServer
from loomyard_router.callers.in_flight import InFlight
from loomyard_router.settings import parse_settings
from loomyard_router.targets.http_engine import make_http_engine

BODY = b"x" * 200_000


class TlsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.certificate, self.key = make_certificate(Path(folder.name))

    def test_callers_get_whole_answers_over_tls(self) -> None:
        server = CallerServer(
            ("127.0.0.1", 0),
            serve,
            log=None,
            in_flight=InFlight(SystemClock()),
            certfile=self.certificate,
            keyfile=self.key,
        )
        server.start()
        self.addCleanup(server.stop)
        client = HTTPClient(
            "127.0.0.1", server.server_port, ssl=True, ssl_options={"ca_certs": self.certificate}
        )
        self.addCleanup(client.close)
        for _ in range(2):
            self.assertEqual(bytes(client.get("/").read()), BODY)

    def test_whole_answers_of_targets_are_read_over_tls(self) -> None:
        server = WSGIServer(
            ("127.0.0.1", 0), serve, log=None, certfile=self.certificate, keyfile=self.key
        )
        server.start()
        self.addCleanup(server.stop)
        before = SSLConnectionPool.default_options["ca_certs"]
        SSLConnectionPool.default_options["ca_certs"] = self.certificate
        self.addCleanup(SSLConnectionPool.default_options.__setitem__, "ca_certs", before)
        clock = SystemClock()
        call = TargetCall(
            attempt_id="a",
            url=f"https://127.0.0.1:{server.server_port}",
            method="GET",
            path="/",
            deadline=clock.now() + 10.0,
        )
        answer = make_http_engine(clock).open(call).unwrap()
        body = b""
        with gevent.Timeout(10.0):
            while block := answer.read().unwrap():
                body += block
        self.assertEqual(body, BODY)

    def test_invalid_certificates_and_other_faults_are_reported_at_once(self) -> None:
        arguments = ["--log-service", "127.0.0.1:1", "--certificate", self.key]
        faults = parse_settings([*arguments, "--drain-seconds", "soon"], {}).unwrap_err()
        fields = {fault.field for fault in faults}
        self.assertEqual(fields, {"certificate", "drain_seconds"})
        wrong = [*arguments, "--private-key", self.key]
        fields = {fault.field for fault in parse_settings(wrong, {}).unwrap_err()}
        self.assertEqual(fields, {"certificate"})


def serve(environ, start_response):
    start_response("200 OK", [])
    return [BODY]


def make_certificate(folder: Path) -> tuple[str, str]:
    """Write a self-signed certificate and its key; return their paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "127.0.0.1")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder(name, name, key.public_key(), x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    files = folder / "certificate.pem", folder / "key.pem"
    files[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    files[1].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return str(files[0]), str(files[1])


if __name__ == "__main__":
    unittest.main()
