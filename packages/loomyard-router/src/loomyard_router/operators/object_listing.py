"""The list of objects as JSON, in chunks.

Between chunks other greenlets run, so that a long list does not hold up relayed streams.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import gevent

from loomyard.codec import DOCUMENT_CODEC
from loomyard.objects import ObjectRef
from loomyard_router.operators.documents import ObjectEntry, ObjectList

if TYPE_CHECKING:
    from collections.abc import Iterator

    from loomyard.configuration import ConfigState

OBJECTS_PER_CHUNK = 100
SEPARATORS = (",", ":")


def list_objects(state: ConfigState, kinds: list[str], refs: list[str]) -> Iterator[bytes]:
    """Yield the JSON of an ``ObjectList``; empty ``kinds`` or ``refs`` select all."""
    head = json.dumps(DOCUMENT_CODEC.unstructure(ObjectList(state.version, state.applied)))
    yield head.removesuffix("]}").encode()
    batch: list[bytes] = []
    first = True
    for ref in _select_refs(state, refs):
        versioned = state.get(ref)
        if versioned is None or (kinds and ref.kind not in kinds):
            continue
        entry = ObjectEntry(object=versioned.object, version=versioned.version)
        text = json.dumps(DOCUMENT_CODEC.unstructure(entry), separators=SEPARATORS)
        batch.append(text.encode() if first else b"," + text.encode())
        first = False
        if len(batch) >= OBJECTS_PER_CHUNK:
            yield b"".join(batch)
            batch.clear()
            gevent.sleep(0)
    yield b"".join(batch) + b"]}"


def _select_refs(state: ConfigState, refs: list[str]) -> list[ObjectRef]:
    if not refs:
        return list(state.objects)
    return [ObjectRef(*ref.split("/", 1)) for ref in dict.fromkeys(refs) if "/" in ref]
