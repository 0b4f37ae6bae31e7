"""Validation of changes beyond the fields of single objects."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loomyard.configuration.change import ABSENT
from loomyard.objects import ClientAccount, ObjectRef, Route, Service, Target, ref_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from loomyard.configuration.change import Change
    from loomyard.configuration.state import ConfigState
    from loomyard.objects import ConfigObject

MAX_REPORTED_FAULTS = 20
SERVICE_KIND = Service.__name__


def find_form_faults(change: Change) -> list[str]:
    """Return the faults of a change that do not depend on the state."""
    refs = [ref_of(put.object) for put in change.puts] + [d.ref for d in change.deletions]
    if not refs:
        return ["the change names no object"]
    faults = [f"{ref}: named twice" for ref, count in Counter(refs).items() if count > 1]
    absent = [d.ref for d in change.deletions if d.based_on == ABSENT]
    faults += [f"{ref}: the deletion names no version" for ref in absent]
    return faults[:MAX_REPORTED_FAULTS]


def find_state_faults(state: ConfigState, change: Change) -> list[str]:
    """Return the faults that the configuration would have after a change."""
    outcome = _ChangedConfig(state, change)
    return list(_limit(outcome.faults()))


class _ChangedConfig:
    """The configuration as it would be after a change."""

    def __init__(self, state: ConfigState, change: Change) -> None:
        self._state = state
        self._puts = {ref_of(put.object): put.object for put in change.puts}
        self._deleted = {deletion.ref for deletion in change.deletions} - set(self._puts)

    def faults(self) -> Iterator[str]:
        for ref, item in self._puts.items():
            yield from self._unknown_services(ref, item)
        yield from self._duplicate_keys()
        yield from self._broken_references()

    def _unknown_services(self, ref: ObjectRef, item: ConfigObject) -> Iterator[str]:
        for name in _services_of(item):
            if not self._exists(ObjectRef(SERVICE_KIND, name)):
                yield f"{ref}: there is no {SERVICE_KIND}/{name}"

    def _duplicate_keys(self) -> Iterator[str]:
        owners: dict[str, ObjectRef] = {}
        for ref, item in self._puts.items():
            for digest in item.key_digests if isinstance(item, ClientAccount) else []:
                owner = owners.setdefault(digest, ref)
                if owner == ref:
                    owner = self._unchanged_owner(digest) or ref
                if owner != ref:
                    yield f"{ref}: shares a key digest with {owner}"

    def _unchanged_owner(self, digest: str) -> ObjectRef | None:
        owner = self._state.key_owners.get(digest)
        return None if owner is None or self._is_changed(owner) else owner

    def _broken_references(self) -> Iterator[str]:
        names = {ref.name for ref in self._deleted if ref.kind == SERVICE_KIND}
        if not names:
            return
        for ref, versioned in self._state.objects.items():
            if self._is_changed(ref):
                continue
            for name in names.intersection(_services_of(versioned.object)):
                yield f"{SERVICE_KIND}/{name}: {ref} still names it"

    def _exists(self, ref: ObjectRef) -> bool:
        return ref in self._puts or (ref in self._state.objects and ref not in self._deleted)

    def _is_changed(self, ref: ObjectRef) -> bool:
        return ref in self._puts or ref in self._deleted


def _services_of(item: ConfigObject) -> list[str]:
    if isinstance(item, Route):
        return [item.service]
    return [*item.services, *item.loadable] if isinstance(item, Target) else []


def _limit(faults: Iterator[str]) -> Iterator[str]:
    for _, fault in zip(range(MAX_REPORTED_FAULTS), faults, strict=False):
        yield fault
