"""Read the settings file that the platform writes for a router process."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from attrs import evolve
from result import Err, Ok, Result

from loomyard_router.announced.departure_terms import DepartureTerms
from loomyard_router.memory.limits import Limits, read_limits
from loomyard_router.offload.offload_candidates import PORT_OFFSET
from loomyard_router.platform import names
from loomyard_router.routed_settings import RetryTerms, RoutedSettings
from loomyard_router.settings import FLEET_SECRET_VARIABLE, MAX_SECRETS, split_list

if TYPE_CHECKING:
    from collections.abc import Mapping

MILLISECONDS = 1000.0
# The settings file names no port for metrics; deploy/system.toml has the same number.
METRICS_PORT = 9464
DEFAULT_GRACE = 8.0
# Descriptors reserved for files; connections of callers may take half of the others.
RESERVED_DESCRIPTORS = 200
CALLERS_FRACTION = 0.5
DEFAULT_DESCRIPTORS = 4096
# Memory of a process without callers, and of one connection with its task. Measured processes
# took 34 MB with 150 connections and 148 MB with 3,900.
BASE_MB = 60.0
CONNECTION_MB = 0.032
DEFAULT_MEMORY_MB = 256.0
MEMORY_FRACTION = 0.8
# Fraction of the memory limit for request bodies; part of ``MEMORY_FRACTION``.
BODIES_FRACTION = 0.15
MEGABYTE = 1 << 20
MIN_CONNECTIONS = 100
NO_LIMITS = Limits()
MAX_PORT = 65535


def read_settings(environment: Mapping[str, str]) -> Result[RoutedSettings, str]:
    """Read the file named by the environment, and the fleet secret; ignore unknown fields."""
    try:
        text = Path(environment.get(names.SETTINGS_VARIABLE, "")).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(f"the settings file can't be read: {error}")
    return read_secrets(environment).and_then(
        lambda secrets: parse_settings_text(text, read_limits()).map(
            lambda settings: evolve(settings, fleet_secret=secrets)
        )
    )


def read_secrets(environment: Mapping[str, str]) -> Result[tuple[str, ...], str]:
    """Read the secrets of the fleet."""
    secrets = split_list(environment.get(FLEET_SECRET_VARIABLE, ""))
    if not 1 <= len(secrets) <= MAX_SECRETS:
        return Err(f"{FLEET_SECRET_VARIABLE} holds {len(secrets)} secrets, not 1 or {MAX_SECRETS}")
    return Ok(secrets)


def parse_settings_text(text: str, limits: Limits = NO_LIMITS) -> Result[RoutedSettings, str]:
    """Decode lines of the form ``a.b=value``; bounds also follow from the limits in force."""
    fields = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)
    fields = {name.strip(): value.strip() for name, value in fields.items()}
    try:
        return Ok(_make(fields, limits))
    except KeyError as error:
        return Err(f"the settings file lacks {error.args[0]}")
    except ValueError as error:
        return Err(f"the settings file holds an invalid value: {error}")


def ends_in_a_line(environment: Mapping[str, str]) -> bool:
    """Tell whether the last line of the settings file has its end, so that it is not cut."""
    try:
        return Path(environment.get(names.SETTINGS_VARIABLE, "")).read_bytes().endswith(b"\n")
    except OSError:
        return False


def _address(fields: Mapping[str, str], name: str) -> str:
    _check_port(name, fields[name].rpartition(":")[2])
    return fields[name]


def _check_port(name: str, port: str) -> int:
    if not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ValueError(f"{name}: {port!r} is no port")
    return int(port)


def _make(fields: Mapping[str, str], limits: Limits) -> RoutedSettings:
    memory_mb = limits.least_megabytes(_memory_mb(fields))
    name = "internal_ports"
    ports = [_check_port(name, port.strip()) for port in fields[name].split(",")]
    own_ip = fields["ip"]
    seeds = tuple(
        f"{seed.rpartition(':')[0]}:{ports[0]}"
        for seed in fields.get("seeds", "").split(",")
        if seed and seed.rpartition(":")[0] != own_ip
    )
    return RoutedSettings(
        name=fields["node_name"],
        data_centre=fields.get("zone", ""),
        listen=_address(fields, "listen.frontend"),
        ready_listen=_address(fields, "listen.readiness"),
        peer_listen=f"{own_ip}:{ports[0]}",
        offload_listen=f"{own_ip}:{ports[0] + PORT_OFFSET}" if ports[0] < ports[-1] else "",
        metrics_listen=f"{own_ip}:{METRICS_PORT}",
        seeds=seeds,
        store=_address(fields, "platform.address"),
        grace=float(fields.get("bounds.grace_s", DEFAULT_GRACE)),
        retries=RetryTerms(
            ratio=float(fields.get("bounds.retry_ratio", 0.0)),
            window=float(fields.get("bounds.retry_window_s", 10.0)),
            slack=float(fields.get("bounds.retry_slack", 0.0)),
        ),
        departures=_departures(fields),
        config_apply=float(fields.get("bounds.config_apply_ms", 2000.0)) / MILLISECONDS,
        most_connections=_max_connections(fields, limits, memory_mb),
        share_window=float(fields.get("bounds.quota_window_s", 4.0)),
        body_bytes=int(BODIES_FRACTION * memory_mb * MEGABYTE),
        memory_mb=_memory_mb(fields),
        first_start=fields.get("bootstrap") == "true",
        event_seconds=float(fields.get("bounds.pass_ms", 0.0)) / MILLISECONDS,
    )


def _departures(fields: Mapping[str, str]) -> DepartureTerms:
    known = DepartureTerms()
    drain = float(fields.get("bounds.drain_ms", known.drain * MILLISECONDS))
    contact = float(fields.get("bounds.contact_ms", known.contact * MILLISECONDS))
    return DepartureTerms(drain=drain / MILLISECONDS, contact=contact / MILLISECONDS)


def _max_connections(fields: Mapping[str, str], limits: Limits, memory_mb: float) -> int:
    stated = int(fields.get("limits.max_fds", DEFAULT_DESCRIPTORS)) - RESERVED_DESCRIPTORS
    descriptors = limits.least_descriptors(stated)
    memory = (MEMORY_FRACTION - BODIES_FRACTION) * memory_mb - BASE_MB
    bound = max(MIN_CONNECTIONS, min(CALLERS_FRACTION * descriptors, memory / CONNECTION_MB))
    # A connection takes another one to a target.
    return int(min(bound, CALLERS_FRACTION * descriptors))


def _memory_mb(fields: Mapping[str, str]) -> float:
    return float(fields.get("limits.memory_mb", DEFAULT_MEMORY_MB))
