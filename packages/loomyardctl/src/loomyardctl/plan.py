"""Comparison of manifests with the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from attrs import field, frozen
from result import Err, Ok, Result

from loomyard.codec import DOCUMENT_CODEC
from loomyard.configuration import ABSENT
from loomyard.objects import ConfigObject, ObjectRef, ref_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from loomyard.manifests import Manifest
    from loomyardctl.client import OperatorsClient
    from loomyardctl.reply import Reply, Unanswered

MAX_QUERY_REFS = 50


@frozen(kw_only=True)
class PlannedPut:
    """An object to be created or replaced, as plain data before and after."""

    ref: ObjectRef
    before: dict[str, Any] | None
    after: dict[str, Any]
    based_on: int

    @property
    def action(self) -> str:
        return "create" if self.before is None else "replace"


@frozen(kw_only=True)
class Plan:
    """The puts of an apply, and the references of objects that need no change."""

    puts: list[PlannedPut] = field(factory=list)
    unchanged: list[ObjectRef] = field(factory=list)


def make_plan(
    client: OperatorsClient, manifests: Sequence[Manifest]
) -> Result[Plan, Reply | Unanswered]:
    """Compare manifests with the objects in force.

    A put is based on the version in its manifest, or the version in force if it has none.
    """
    refs = [ref_of(manifest.object) for manifest in manifests]
    found = fetch_objects(client, refs)
    if found.is_err():
        return Err(found.unwrap_err())
    entries, plan = found.unwrap(), Plan()
    for ref, manifest in zip(refs, manifests, strict=True):
        after = DOCUMENT_CODEC.unstructure(manifest.object, unstructure_as=ConfigObject)
        entry = entries.get(ref)
        if entry is not None and entry["object"] == after and _is_current(manifest, entry):
            plan.unchanged.append(ref)
            continue
        current = ABSENT if entry is None else entry["version"]
        plan.puts.append(
            PlannedPut(
                ref=ref,
                before=None if entry is None else entry["object"],
                after=after,
                based_on=current if manifest.version is None else manifest.version,
            )
        )
    return Ok(plan)


def fetch_objects(
    client: OperatorsClient, refs: Sequence[ObjectRef]
) -> Result[dict[ObjectRef, dict[str, Any]], Reply | Unanswered]:
    """Fetch the entries of objects by reference, without those that do not exist.

    For more than ``MAX_QUERY_REFS`` references all objects are fetched.
    """
    as_query = len(refs) <= MAX_QUERY_REFS
    query = "?" + urlencode([("ref", str(ref)) for ref in refs]) if as_query else ""
    answered = client.get("objects" + query)
    if answered.is_err():
        return Err(answered.unwrap_err())
    reply = answered.unwrap()
    if not reply.ok:
        return Err(reply)
    return Ok({entry_ref(entry): entry for entry in reply.document["objects"]})


def entry_ref(entry: dict[str, Any]) -> ObjectRef:
    """Return the reference to the object of an entry."""
    item = entry["object"]
    return ObjectRef(item["kind"], item["metadata"]["name"])


def _is_current(manifest: Manifest, entry: dict[str, Any]) -> bool:
    return manifest.version is None or manifest.version == entry["version"]
