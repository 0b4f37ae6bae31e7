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
    drain_seconds: float = 60.0


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
    add("drain-seconds", 60.0, "longest wait of a planned stop for what runs", type=float)
    add("log-format", "text", "text or json", choices=("text", "json"))
    return parser


def _check(settings: Settings) -> list[FieldFault]:
    faults = []
    for name in ("listen", "log_service"):
        value = getattr(settings, name)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            faults.append(_fault(name, f"not host:port: {value!r}"))
    return faults


def _fault(name: str, detail: str) -> FieldFault:
    return FieldFault(
        source="settings",
        object="loomyard-router",
        field=name,
        detail=detail,
        code=ResultCode.INVALID_SETTING,
    )
