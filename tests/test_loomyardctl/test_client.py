"""Tests of the client with TLS."""

from __future__ import annotations

import contextlib
import datetime
import io
import ipaddress
import tempfile
import unittest
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from loomyard_router.application import make_application
from loomyard_router.callers.keys import digest_key
from loomyard_router.settings import Settings
from loomyard_standins.log_service import LogServer, MemoryLog
from loomyardctl.__main__ import run
from loomyardctl.exit_codes import ExitCode

KEY = "key-operator"
VALIDITY = datetime.timedelta(days=1)


def write_certificate(folder: Path, name: str) -> tuple[str, str]:
    """Write a self-signed certificate of 127.0.0.1 and its key; return their paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))])
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - VALIDITY)
        .not_valid_after(now + VALIDITY)
        .add_extension(address, critical=False)
        .sign(key, hashes.SHA256())
    )
    paths = folder / f"{name}.pem", folder / f"{name}.key"
    paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    paths[1].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return str(paths[0]), str(paths[1])


class TlsTest(unittest.TestCase):
    def test_routers_with_untrusted_certificates_are_refused(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        certificate, private_key = write_certificate(Path(folder.name), "router")
        untrusted, _ = write_certificate(Path(folder.name), "stranger")
        log = LogServer(MemoryLog())
        log.start()
        self.addCleanup(log.stop)
        router = make_application(
            Settings(
                name="router",
                listen="127.0.0.1:0",
                log_service=log.address,
                operator_listen="127.0.0.1:0",
                operator_keys=(digest_key(KEY),),
                operator_certificate=certificate,
                operator_private_key=private_key,
            )
        )
        router.start()
        self.addCleanup(router.stop)
        url = f"https://127.0.0.1:{router.operators.port}"
        environment = {"LOOMYARDCTL_KEY": KEY, "LOOMYARDCTL_ROUTER": url}
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            accepted = run(["get", "--ca-file", certificate], environment)
            refused = run(["get", "--ca-file", untrusted], environment)
        self.assertEqual((accepted, refused), (ExitCode.OK, ExitCode.UNREACHABLE))
        self.assertIn("certificate verify failed", output.getvalue())


if __name__ == "__main__":
    unittest.main()
