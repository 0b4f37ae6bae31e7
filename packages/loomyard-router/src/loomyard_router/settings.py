"""Settings of the router, by flags and environment variables."""

from __future__ import annotations

import argparse
import os
from typing import TYPE_CHECKING

from attrs import frozen
from result import Err, Ok, Result

from loomyard.errors import FieldFault, ResultCode

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

ENVIRONMENT_PREFIX = "LOOMYARD_"
MIN_CLAIM_WINDOW = 300.0
RETENTION_MARGIN = 300.0
POLICIES = ("fleet", "local", "fifo")


@frozen(kw_only=True)
class Settings:
    """What a router is told at its start; addresses are ``host:port``."""

    name: str
    data_centre: str = ""
    listen: str = "127.0.0.1:8080"
    log_service: str = ""
    policy: str = "local"
    position: int = 0
    routers: int = 1
    log_format: str = "text"
    claim_window: float = 3600.0
    log_retention: float = 86400.0


def parse_settings(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> Result[Settings, list[FieldFault]]:
    """Read flags over environment variables over defaults, and check them all."""
    parser = make_parser(environment)
    namespace = parser.parse_args(list(arguments))
    settings = Settings(**vars(namespace))
    faults = _check(settings)
    return Err(faults) if faults else Ok(settings)


def make_parser(environment: Mapping[str, str]) -> argparse.ArgumentParser:
    """Make the parser of the settings."""
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
    add("policy", "local", "share policy", choices=POLICIES)
    add("position", 0, "position of this router for the local policy", type=int)
    add("routers", 1, "number of routers for the local policy", type=int)
    add("log-format", "text", "text or json", choices=("text", "json"))
    add("claim-window", 3600.0, "seconds for which an idempotency key is remembered", type=float)
    add("log-retention", 86400.0, "seconds for which the log service keeps records", type=float)
    return parser


def _check(settings: Settings) -> list[FieldFault]:
    faults = []
    for name in ("listen", "log_service"):
        value = getattr(settings, name)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            faults.append(_fault(name, f"not host:port: {value!r}"))
    faults += _check_window(settings)
    return faults


def _check_window(settings: Settings) -> list[FieldFault]:
    """Check that what a trimmed log forgot is past the window of all that it still holds."""
    if settings.claim_window < MIN_CLAIM_WINDOW:
        return [_fault("claim_window", f"shorter than {MIN_CLAIM_WINDOW:.0f} s")]
    if 2 * settings.claim_window + RETENTION_MARGIN > settings.log_retention:
        detail = f"twice the window and {RETENTION_MARGIN:.0f} s exceed log_retention"
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
