"""The compact form of messages between routers: CBOR arrays without field names."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import attrs
import cbor2
from cattrs import BaseValidationError
from cattrs.preconf.cbor2 import make_converter
from result import Err, Ok, Result

from loomyard.codec import CODEC, structure_bytes
from loomyard.objects import ConfigObject
from loomyard.untagged_cbor import load_untagged
from loomyard.validation_errors import error_lines

if TYPE_CHECKING:
    from collections.abc import Callable

    from cattrs import Converter

T = TypeVar("T")


def pack(value: object) -> bytes:
    """Encode an attrs object as a CBOR array of its fields; trailing defaults are left out."""
    return cbor2.dumps(COMPACT.unstructure(value))


def unpack(data: bytes, kind: type[T]) -> Result[T, str]:
    """Decode a CBOR array into a typed value; the error says what is wrong."""
    try:
        return structure(load_untagged(data), kind)
    except Exception as error:  # cbor2 raises many types on hostile bytes
        return Err(f"{type(error).__name__}: {error}")


def structure(data: Any, kind: type[T]) -> Result[T, str]:
    """Convert decoded CBOR into a typed value; the error says what is wrong."""
    try:
        return Ok(COMPACT.structure(data, kind))
    except BaseValidationError as error:
        return Err("; ".join(error_lines(error)))
    except Exception as error:  # hooks raise many types on hostile data
        return Err(f"{type(error).__name__}: {error}")


def _make_compact_converter() -> Converter:
    codec = make_converter()
    codec.register_unstructure_hook_factory(
        attrs.has, lambda kind: _make_unstructure_hook(codec, kind)
    )
    codec.register_structure_hook_factory(attrs.has, lambda kind: _make_structure_hook(codec, kind))
    codec.register_structure_hook(bytes, structure_bytes)
    # Configuration objects are encoded as in the configuration log.
    codec.register_unstructure_hook(
        ConfigObject, lambda item: CODEC.unstructure(item, unstructure_as=ConfigObject)
    )
    codec.register_structure_hook(ConfigObject, lambda data, _: _structure_config(data))
    return codec


def _structure_config(data: Any) -> Any:
    return CODEC.structure(data, ConfigObject)  # type: ignore[arg-type]


def _make_unstructure_hook(codec: Converter, kind: type) -> Callable[[Any], list[Any]]:
    fields = attrs.fields(attrs.resolve_types(kind))
    steps = [(field.name, codec.get_unstructure_hook(field.type)) for field in fields]
    defaults = [field.default for field in fields]

    def unstructure(item: Any) -> list[Any]:
        values = [getattr(item, name) for name, _ in steps]
        count = len(values)
        while count and _is_default(values[count - 1], defaults[count - 1]):
            count -= 1
        return [step(value) for (_, step), value in zip(steps[:count], values, strict=False)]

    return unstructure


def _is_default(value: Any, default: Any) -> bool:
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        return not default.takes_self and value == default.factory()
    return default is not attrs.NOTHING and value == default


def _make_structure_hook(codec: Converter, kind: type) -> Callable[[Any, Any], Any]:
    fields = attrs.fields(attrs.resolve_types(kind))
    steps = [(field.alias, codec.get_structure_hook(field.type), field.type) for field in fields]

    def make(data: Any, _: Any) -> Any:
        if not isinstance(data, list | tuple) or len(data) > len(steps):
            raise ValueError(f"not an array for {kind.__name__}")
        present = zip(steps, data, strict=False)
        return kind(
            **{alias: step(item, field_type) for (alias, step, field_type), item in present}
        )

    return make


# Defined last because it needs the functions above.
COMPACT = _make_compact_converter()
