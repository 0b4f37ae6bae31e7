"""Parsing and validation of manifests: YAML with one configuration object a document."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import yaml
from cattrs import BaseValidationError
from result import Err, Ok, Result

from loomyard.codec import CODEC, KIND_FIELD
from loomyard.errors import FieldFault
from loomyard.objects import KINDS, ConfigObject, ObjectRef, ref_of
from loomyard.validation_errors import error_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_MANIFEST_BYTES = 16 * 1024 * 1024
VERSION_FIELD = "version"
# The faster C loader where PyYAML was built with it; both loaders are safe ones.
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@attrs.frozen
class Manifest:
    """An object, its source (such as a file) and, if given, the version it is based on."""

    object: ConfigObject
    source: str
    version: int | None = None


def read_manifests(
    sources: Iterable[tuple[str, str]],
) -> Result[list[ConfigObject], list[FieldFault]]:
    """Parse the objects of ``(source, text)`` pairs; the error lists every fault."""
    return read_versioned(sources).map(lambda manifests: [item.object for item in manifests])


def read_versioned(
    sources: Iterable[tuple[str, str]],
) -> Result[list[Manifest], list[FieldFault]]:
    """Parse the manifests of ``(source, text)`` pairs; the error lists every fault."""
    manifests: list[Manifest] = []
    faults: list[FieldFault] = []
    seen: set[ObjectRef] = set()
    for source, text in sources:
        for document in _load_documents(source, text, faults):
            version = _pop_version(source, document, faults)
            item = _read_object(source, document, faults)
            if item is None:
                continue
            if ref_of(item) in seen:
                faults.append(_fault(source, str(ref_of(item)), "metadata.name", "defined twice"))
            seen.add(ref_of(item))
            manifests.append(Manifest(item, source, version))
    return Err(faults) if faults else Ok(manifests)


def _pop_version(source: str, document: Any, faults: list[FieldFault]) -> int | None:
    if not isinstance(document, dict) or VERSION_FIELD not in document:
        return None
    version = document.pop(VERSION_FIELD)
    if isinstance(version, bool) or not isinstance(version, int):
        name = _object_name(document.get(KIND_FIELD), document)
        faults.append(_fault(source, name, VERSION_FIELD, "not a whole number"))
        return None
    return version


def _load_documents(source: str, text: str, faults: list[FieldFault]) -> list[Any]:
    if len(text) > MAX_MANIFEST_BYTES:
        faults.append(_fault(source, "-", "-", f"longer than {MAX_MANIFEST_BYTES} bytes"))
        return []
    try:
        if any(isinstance(event, yaml.AliasEvent) for event in yaml.parse(text, Loader=_LOADER)):
            # A few nested aliases can expand to billions of objects.
            faults.append(_fault(source, "-", "-", "aliases are refused"))
            return []
        return [
            document for document in yaml.load_all(text, Loader=_LOADER) if document is not None
        ]
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        faults.append(_fault(source, "-", "-", f"not YAML: {error}"))
        return []


def _read_object(source: str, document: Any, faults: list[FieldFault]) -> ConfigObject | None:
    if not isinstance(document, dict):
        faults.append(_fault(source, "-", "-", "not a mapping"))
        return None
    fields = dict(document)
    kind_name = fields.pop(KIND_FIELD, None)
    name = _object_name(kind_name, fields)
    kind = KINDS.get(kind_name) if isinstance(kind_name, str) else None
    if kind is None:
        faults.append(_fault(source, name, KIND_FIELD, f"not one of {', '.join(KINDS)}"))
        return None
    try:
        # Validators run after structuring, so that all faults are reported, not only the first.
        with attrs.validators.disabled():
            item: ConfigObject = CODEC.structure(fields, kind)
    except BaseValidationError as error:
        for line in error_lines(error, path="$"):
            detail, _, path = line.rpartition(" @ ")
            faults.append(_fault(source, name, path.removeprefix("$.") or "-", detail or line))
        return None
    except (ValueError, TypeError, RecursionError) as error:
        faults.append(_fault(source, name, "-", str(error)))
        return None
    invalid = list(_invalid_fields(item, ""))
    faults.extend(_fault(source, name, path, detail) for path, detail in invalid)
    return None if invalid else item


def _invalid_fields(value: Any, path: str) -> Iterator[tuple[str, str]]:
    if isinstance(value, list):
        for index, item in enumerate(value):
            yield from _invalid_fields(item, f"{path}[{index}]")
    if not attrs.has(type(value)):
        return
    for attribute in attrs.fields(type(value)):
        field_value = getattr(value, attribute.name)
        field_path = f"{path}.{attribute.name}" if path else attribute.name
        yield from _invalid_fields(field_value, field_path)
        if attribute.validator is None:
            continue
        try:
            attribute.validator(value, attribute, field_value)
        except (ValueError, TypeError) as error:
            yield field_path, str(error.args[0])


def _object_name(kind: Any, fields: dict[str, Any]) -> str:
    metadata = fields.get("metadata")
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return f"{kind}/{name}"


def _fault(source: str, item: str, field: str, detail: str) -> FieldFault:
    return FieldFault(source=source, object=item, field=field, detail=detail)
