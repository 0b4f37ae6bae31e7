"""Settings of the router from flags and environment variables."""

from __future__ import annotations

import argparse
import math
import os
import re
import ssl
from typing import TYPE_CHECKING

from attrs import asdict, field, frozen
from result import Err, Ok, Result

from loomyard.errors import FieldFault, ResultCode

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

ENVIRONMENT_PREFIX = "LOOMYARD_"
FLEET_SECRET_VARIABLE = ENVIRONMENT_PREFIX + "FLEET_SECRET"
# Prefix of the secrets in the published examples, which everybody can read.
EXAMPLE_SECRET = "replace-me"
MAX_SECRETS = 2
MIN_SHARE_BYTES = 200.0
MAX_NAME_CHARS = 63  # so that updates of several routers fit into one gossip datagram
MIN_CLAIM_WINDOW_SECONDS = 300.0
RETENTION_MARGIN_SECONDS = 300.0
POLICIES = ("fleet", "local", "fifo")
LOG_FORMATS = ("text", "json")
INVALID_INTEGER = -1

_ADDRESS = re.compile(r"\S+:\d+\Z")
_DIGEST = re.compile(r"[0-9a-f]{64}\Z")


@frozen(kw_only=True)
class Settings:
    """Settings of one router; addresses are ``host:port``, times are seconds."""

    name: str
    data_centre: str = ""
    listen: str = "127.0.0.1:8080"
    log_service: str = ""
    policy: str = "fleet"
    position: int = 0
    routers: int = 1
    log_format: str = "text"
    operator_listen: str = ""
    operator_keys: tuple[str, ...] = ()
    operator_certificate: str = ""
    operator_private_key: str = ""
    drain_seconds: float = 60.0
    resume_seconds: float = 5.0
    metrics_listen: str = ""
    certificate: str = ""
    private_key: str = ""
    peer_listen: str = ""
    peers: tuple[str, ...] = ()
    fleet_secret: tuple[str, ...] = field(default=(), repr=False)
    peer_certificate: str = ""
    peer_key: str = ""
    peer_authority: str = ""
    vm_list: str = ""
    weight_store: str = ""
    probe_period: float = 0.5
    share_bytes: float = 1700.0
    claim_window: float = 3600.0
    log_retention: float = 86400.0


def parse_settings(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> Result[Settings, list[FieldFault]]:
    """Read and check settings; flags override environment variables, which override defaults.

    The error lists all faults at once.
    """
    parser = make_parser(environment)
    namespace = parser.parse_args(list(arguments))
    if not namespace.fleet_secret:
        # As a default of the parser, the secret would be printed by ``--help``.
        namespace.fleet_secret = split_list(environment.get(FLEET_SECRET_VARIABLE, ""))
    settings = Settings(**vars(namespace))
    faults = _check(settings)
    return Err(faults) if faults else Ok(settings)


def make_parser(environment: Mapping[str, str]) -> argparse.ArgumentParser:
    """Make the argument parser, with defaults from the environment."""
    parser = argparse.ArgumentParser(
        prog="loomyard-router",
        description="Route requests of client accounts to targets, in fair shares.",
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )

    def add(flag: str, default: object, text: str, **options: object) -> None:
        variable = ENVIRONMENT_PREFIX + flag.upper().replace("-", "_")
        parser.add_argument(
            f"--{flag}",
            default=environment.get(variable, default),
            help=f"{text} [{variable}]",
            **options,  # type: ignore[arg-type]
        )

    add("name", os.uname().nodename, "name of this router")
    add("data-centre", "", "data centre of this router")
    add("listen", "127.0.0.1:8080", "address for callers")
    add("log-service", "", "address of the log service")
    add("policy", "fleet", "share policy", metavar="|".join(POLICIES))
    add("position", 0, "position of this router for the local policy", type=_integer)
    add("routers", 1, "number of routers for the local policy", type=_integer)
    add("drain-seconds", 60.0, "seconds that a graceful shutdown waits for requests", type=_number)
    add("resume-seconds", 5.0, "seconds in which a disconnected caller may resume", type=_number)
    add("metrics-listen", "", "address of /metrics, /healthz and /readyz; none: no metrics")
    add("certificate", "", "PEM certificate for TLS with callers")
    add("private-key", "", "PEM key of the certificate")
    add("log-format", "text", "text or json", metavar="|".join(LOG_FORMATS))
    add("operator-listen", "", "address for operators; none turns their interface off")
    add("operator-keys", "", "SHA-256 digests of operator keys, comma-separated", type=split_list)
    add("operator-certificate", "", "file of the operator listener's TLS certificate chain")
    add("operator-private-key", "", "file of the operator listener's TLS private key")
    add("peer-listen", "", "TCP and UDP address for other routers; none: a fleet of one")
    add("peers", "", "addresses of some other routers, comma-separated", type=split_list)
    parser.add_argument(
        "--fleet-secret",
        default=(),
        type=split_list,
        help="secret of the fleet; during rotation two, comma-separated, of which the first signs;"
        f" better set by [{FLEET_SECRET_VARIABLE}]",
    )
    add("peer-certificate", "", "PEM certificate for TLS between routers")
    add("peer-key", "", "PEM key of the certificate")
    add("peer-authority", "", "PEM certificate of the authority of the routers' certificates")
    add("vm-list", "", "address of the VM list")
    add("weight-store", "", "address of the weight store; without it loads are 10 s apart")
    add("probe-period", 0.5, "seconds between probes of other routers", type=_number)
    add("share-bytes", 1700.0, "bytes per second of share reports and replies", type=_number)
    add("claim-window", 3600.0, "seconds for which idempotency keys are remembered", type=_number)
    add("log-retention", 86400.0, "seconds for which the log service keeps records", type=_number)
    return parser


def _check(settings: Settings) -> list[FieldFault]:
    faults = []
    for name in ("listen", "log_service"):
        value = getattr(settings, name)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            faults.append(_fault(name, f"not host:port: {value!r}"))
    return faults + _check_choices(settings) + _check_callers(settings) + _check_operators(settings)


def _check_choices(settings: Settings) -> list[FieldFault]:
    """Check choices and ranges.

    Argparse would exit at the first fault, and would not check values from the environment.
    """
    faults = []
    if settings.policy not in POLICIES:
        faults.append(_fault("policy", f"not one of {', '.join(POLICIES)}"))
    if settings.log_format not in LOG_FORMATS:
        faults.append(_fault("log_format", f"not one of {', '.join(LOG_FORMATS)}"))
    if settings.routers < 1:
        faults.append(_fault("routers", "not a whole number above 0"))
    elif not 0 <= settings.position < settings.routers:
        faults.append(_fault("position", "not a whole number from 0 to routers less 1"))
    return faults


def _check_callers(settings: Settings) -> list[FieldFault]:
    faults = []
    for name, value in asdict(settings).items():
        if isinstance(value, float) and not math.isfinite(value):
            faults.append(_fault(name, "not a number"))
    if settings.drain_seconds <= 0:
        faults.append(_fault("drain_seconds", "not above 0"))
    if settings.resume_seconds < 0:
        faults.append(_fault("resume_seconds", "below 0"))
    if settings.metrics_listen and not _ADDRESS.match(settings.metrics_listen):
        faults.append(_fault("metrics_listen", f"not host:port: {settings.metrics_listen!r}"))
    if bool(settings.certificate) != bool(settings.private_key):
        faults.append(_fault("certificate", "give certificate and private key, or none"))
    elif settings.certificate:
        faults += _check_certificate(settings)
    return faults


def _check_certificate(settings: Settings) -> list[FieldFault]:
    try:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(settings.certificate, settings.private_key)
    except (OSError, ValueError) as error:
        return [_fault("certificate", f"can't be used: {error}")]
    return []


def _number(text: str) -> float:
    """Parse a number; an invalid one becomes NaN, which is reported with the other faults."""
    try:
        return float(text)
    except ValueError:
        return math.nan


def _integer(text: str) -> int:
    """Parse an integer; an invalid one becomes ``INVALID_INTEGER`` and is reported later."""
    try:
        return int(text)
    except ValueError:
        return INVALID_INTEGER


def _check_operators(settings: Settings) -> list[FieldFault]:
    faults = []
    if settings.log_retention <= 0:
        faults.append(_fault("log_retention", "not above 0"))
    if settings.operator_listen and not _ADDRESS.match(settings.operator_listen):
        faults.append(_fault("operator_listen", f"not host:port: {settings.operator_listen!r}"))
    if settings.operator_listen and not settings.operator_keys:
        faults.append(_fault("operator_keys", "a listener for operators needs at least one"))
    if not all(_DIGEST.match(digest) for digest in settings.operator_keys):
        faults.append(_fault("operator_keys", "not SHA-256 digests in lower-case hexadecimal"))
    if bool(settings.operator_certificate) != bool(settings.operator_private_key):
        faults.append(_fault("operator_certificate", "give certificate and private key, or none"))
    if settings.share_bytes < MIN_SHARE_BYTES:
        faults.append(_fault("share_bytes", f"below {MIN_SHARE_BYTES:.0f}"))
    return faults + _check_peers(settings) + _check_window(settings)


def _check_peers(settings: Settings) -> list[FieldFault]:
    faults = []
    addresses = [("peers", peer) for peer in settings.peers]
    for name in ("peer_listen", "vm_list", "weight_store"):
        addresses += [(name, getattr(settings, name))] if getattr(settings, name) else []
    for name, value in addresses:
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            faults.append(_fault(name, f"not host:port: {value!r}"))
    if settings.peer_listen and not settings.fleet_secret:
        faults.append(_fault("fleet_secret", "needed with peer_listen"))
    if len(settings.fleet_secret) > MAX_SECRETS:
        faults.append(_fault("fleet_secret", f"more than {MAX_SECRETS}"))
    for name in ("name", "data_centre"):
        if len(getattr(settings, name)) > MAX_NAME_CHARS:
            faults.append(_fault(name, f"longer than {MAX_NAME_CHARS} characters"))
    if not settings.name:
        faults.append(_fault("name", "empty"))
    files = ("peer_certificate", "peer_key", "peer_authority")
    given = [name for name in files if getattr(settings, name)]
    if given and len(given) < len(files):
        faults.append(_fault("peer_certificate", "certificate, key and authority go together"))
    for name in given:
        if not os.path.isfile(getattr(settings, name)):
            faults.append(_fault(name, f"no such file: {getattr(settings, name)!r}"))
    if settings.probe_period <= 0:
        faults.append(_fault("probe_period", "not above 0"))
    return faults


def split_list(text: str) -> tuple[str, ...]:
    """Split a comma-separated setting; drop spaces and empty items."""
    return tuple(item.strip() for item in text.split(",") if item.strip())


def _check_window(settings: Settings) -> list[FieldFault]:
    """Check that the log retains claims until they are outside the window of all retained ones."""
    if settings.claim_window < MIN_CLAIM_WINDOW_SECONDS:
        return [_fault("claim_window", f"shorter than {MIN_CLAIM_WINDOW_SECONDS:.0f} s")]
    if 2 * settings.claim_window + RETENTION_MARGIN_SECONDS > settings.log_retention:
        detail = f"twice the window and {RETENTION_MARGIN_SECONDS:.0f} s exceed log_retention"
        return [_fault("claim_window", detail)]
    return []


def _fault(name: str, detail: str) -> FieldFault:
    return FieldFault(
        source="settings",
        object="loomyard-router",
        field=name,
        detail=detail,
        code=ResultCode.INVALID_SETTING,
    )
