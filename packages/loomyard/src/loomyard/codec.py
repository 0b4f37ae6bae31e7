"""Conversion between typed values, plain data and CBOR."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import cbor2
from cattrs import BaseValidationError
from cattrs.preconf.cbor2 import make_converter
from result import Err, Ok, Result

from loomyard.objects import KINDS, ClientAccount, ConfigObject, Route, Service, Target
from loomyard.plain_cbor import load_plain
from loomyard.validation_errors import error_lines

if TYPE_CHECKING:
    from cattrs import Converter

T = TypeVar("T")
KIND_FIELD = "kind"


def make_codec(*, omit_if_default: bool = True) -> Converter:
    """Make the converter that all messages and records share."""
    codec = make_converter(forbid_extra_keys=True, omit_if_default=omit_if_default)
    codec.register_unstructure_hook(ConfigObject, _unstructure_object(codec))
    codec.register_structure_hook(ConfigObject, _structure_object(codec))
    codec.register_structure_hook(bytes, structure_bytes)
    return codec


def structure_bytes(data: Any, _: Any) -> bytes:
    """Take bytes only: ``bytes`` of a number would allocate as many."""
    if not isinstance(data, bytes):
        raise ValueError("not a byte string")
    return data


def encode(value: object) -> bytes:
    """Encode a typed value as CBOR."""
    return cbor2.dumps(CODEC.unstructure(value))


def decode(data: bytes, kind: type[T]) -> Result[T, str]:
    """Decode CBOR into a typed value."""
    try:
        return Ok(CODEC.structure(load_plain(data), kind))
    except BaseValidationError as error:
        return Err("; ".join(error_lines(error)))
    except Exception as error:  # cbor2 and hooks raise many types on hostile bytes
        return Err(f"{type(error).__name__}: {error}")


def _unstructure_object(codec: Converter) -> Any:
    def unstructure(item: ConfigObject) -> dict[str, Any]:
        data = codec.unstructure(item, unstructure_as=type(item))
        return {KIND_FIELD: type(item).__name__, **data}

    return unstructure


def _structure_object(codec: Converter) -> Any:
    def structure(data: Any, _: Any) -> ClientAccount | Service | Target | Route:
        if not isinstance(data, dict):
            raise ValueError("not a mapping")
        fields = dict(data)
        kind = KINDS.get(fields.pop(KIND_FIELD, None))
        if kind is None:
            raise ValueError(f"unknown kind {data.get(KIND_FIELD)!r}")
        return codec.structure(fields, kind)

    return structure


# Stands last because making it needs the hooks above.
CODEC = make_codec()
# For people and other programs, who should see the defaults.
DOCUMENT_CODEC = make_codec(omit_if_default=False)
