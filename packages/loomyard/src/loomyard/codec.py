"""Conversion between attrs classes, plain data (dicts and lists) and CBOR."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import cbor2
from cattrs import BaseValidationError
from cattrs.preconf.cbor2 import make_converter
from result import Err, Ok, Result

from loomyard.objects import KINDS, ClientAccount, ConfigObject, Route, Service, Target
from loomyard.untagged_cbor import load_untagged
from loomyard.validation_errors import error_lines

if TYPE_CHECKING:
    from cattrs import Converter

T = TypeVar("T")
KIND_FIELD = "kind"


def make_codec(*, omit_if_default: bool = True) -> Converter:
    """Make a converter for messages and records, which refuses unknown fields."""
    codec = make_converter(forbid_extra_keys=True, omit_if_default=omit_if_default)
    codec.register_unstructure_hook(ConfigObject, _unstructure_object(codec))
    codec.register_structure_hook(ConfigObject, _structure_object(codec))
    codec.register_structure_hook(bytes, structure_bytes)
    return codec


def structure_bytes(data: Any, _: Any) -> bytes:
    """Accept only bytes; ``bytes(n)`` of a hostile number would allocate ``n`` bytes."""
    if not isinstance(data, bytes):
        raise ValueError("not a byte string")
    return data


def encode(value: object) -> bytes:
    """Encode a value of a structured type as CBOR."""
    return cbor2.dumps(CODEC.unstructure(value))


def decode(data: bytes, kind: type[T]) -> Result[T, str]:
    """Decode CBOR into a value of type ``kind``; the error text lists every fault."""
    try:
        return Ok(CODEC.structure(load_untagged(data), kind))
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


# Defined last because its construction needs the hooks above.
CODEC = make_codec()
# For documents read by people and other programs: fields with default values are written too.
DOCUMENT_CODEC = make_codec(omit_if_default=False)
