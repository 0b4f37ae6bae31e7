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
from loomyard.plain_cbor import load_plain
from loomyard.validation_errors import error_lines

if TYPE_CHECKING:
    from collections.abc import Callable

    from cattrs import Converter

T = TypeVar("T")


def pack(value: object) -> bytes:
    """Encode an attrs object as a CBOR array of its fields, without defaults at its end."""
    return cbor2.dumps(COMPACT.unstructure(value))


def unpack(data: bytes, kind: type[T]) -> Result[T, str]:
    """Decode a CBOR array into a typed value."""
    try:
        return structure(load_plain(data), kind)
    except Exception as error:  # cbor2 raises many types on hostile bytes
        return Err(f"{type(error).__name__}: {error}")


def structure(data: Any, kind: type[T]) -> Result[T, str]:
    """Make a typed value of decoded CBOR."""
    try:
        return Ok(COMPACT.structure(data, kind))
    except BaseValidationError as error:
        return Err("; ".join(error_lines(error)))
    except Exception as error:  # hooks raise many types on hostile data
        return Err(f"{type(error).__name__}: {error}")


def _make_compact() -> Converter:
    codec = make_converter()
    codec.register_unstructure_hook_factory(attrs.has, lambda kind: _unstructurer(codec, kind))
    codec.register_structure_hook_factory(attrs.has, lambda kind: _structurer(codec, kind))
    codec.register_structure_hook(bytes, structure_bytes)
    # Configuration objects keep the one form that they have in the log.
    codec.register_unstructure_hook(
        ConfigObject, lambda item: CODEC.unstructure(item, unstructure_as=ConfigObject)
    )
    codec.register_structure_hook(ConfigObject, lambda data, _: _structure_config(data))
    return codec


def _structure_config(data: Any) -> Any:
    return CODEC.structure(data, ConfigObject)  # type: ignore[arg-type]


def _unstructurer(codec: Converter, kind: type) -> Callable[[Any], list[Any]]:
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


def _structurer(codec: Converter, kind: type) -> Callable[[Any, Any], Any]:
    fields = attrs.fields(attrs.resolve_types(kind))
    steps = [(field.alias, codec.get_structure_hook(field.type), field.type) for field in fields]

    def make(data: Any, _: Any) -> Any:
        if not isinstance(data, list | tuple) or len(data) > len(steps):
            raise ValueError(f"not an array for {kind.__name__}")
        known = zip(steps, data, strict=False)
        return kind(**{alias: step(item, wanted) for (alias, step, wanted), item in known})

    return make


# Stands last because making it needs the hooks above.
COMPACT = _make_compact()
