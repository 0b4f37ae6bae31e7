"""State of the keys of one partition, folded from its log stream."""

from __future__ import annotations

from itertools import islice
from sys import intern
from typing import TYPE_CHECKING

from loomyard_router.claims.key_state import KeyState, Phase
from loomyard_router.claims.verdict import Verdict

if TYPE_CHECKING:
    from loomyard_router.claims.records import Abandoned, Begun, ClaimBatch, Finished

# A ``Begun`` record that reaches the log later than this after it was made is refused, so log order
# is the order of begin times up to this many seconds: a trimmed log is complete except for claims
# begun within this time of the oldest record that it still has.
MAX_APPEND_DELAY_SECONDS = 60.0
MAX_EXPIRED_PER_BATCH = 1000


class PartitionState:
    """Folds batches in log order.

    Routers that fold the same records have the same state: time is the latest ``begun_at`` read,
    never the clock of the reader.
    """

    def __init__(self) -> None:
        self._time = 0.0
        self._keys: dict[bytes, KeyState] = {}
        self._unsettled: set[bytes] = set()
        self._void_claims: dict[bytes, float] = {}

    @property
    def time(self) -> float:
        return self._time

    def __len__(self) -> int:
        return len(self._keys)

    def find(self, key: bytes, wall: float = 0.0) -> KeyState | None:
        """Return the state of a key that has not expired at a wall time."""
        state = self._keys.get(key)
        if state is None or state.keep_until < max(wall, self._time):
            return None
        return state

    def unsettled(self) -> list[tuple[bytes, KeyState]]:
        """Return the keys that were begun and have no outcome."""
        return [(key, self._keys[key]) for key in self._unsettled]

    def apply(self, batch: ClaimBatch) -> list[Verdict]:
        """Fold a batch; return the verdicts on its ``begun`` in order."""
        for abandoned in batch.abandoned:
            self._abandon(abandoned)
        verdicts = [self._begin(begun) for begun in batch.begun]
        for finished in batch.finished:
            self._finish(finished)
        self._expire()
        return verdicts

    def _begin(self, begun: Begun) -> Verdict:
        self._time = max(self._time, begun.begun_at)
        owner = self.find(begun.key)
        if owner is not None and owner.claim_id == begun.claim_id:
            return Verdict.GRANTED
        verdict = self._judge(begun, owner)
        if verdict is Verdict.GRANTED:
            # An expired key moves to the end like a new one: ``_expire`` starts with the oldest.
            self._keys.pop(begun.key, None)
            self._unsettled.add(begun.key)
            self._keys[begun.key] = KeyState(
                claim_id=begun.claim_id,
                fingerprint=begun.fingerprint,
                owner=intern(begun.owner),
                incarnation=begun.incarnation,
                answer_by=begun.answer_by,
                keep_until=begun.keep_until,
            )
        else:
            # The writer got a refusal, so a duplicate of the record must not be granted later.
            self._void_claims[begun.claim_id] = begun.keep_until
        return verdict

    def _judge(self, begun: Begun, owner: KeyState | None) -> Verdict:
        if begun.claim_id in self._void_claims:
            return Verdict.VOID
        if begun.begun_at < self._time - MAX_APPEND_DELAY_SECONDS:
            return Verdict.LATE
        window = begun.keep_until - begun.begun_at
        if begun.issued_at is not None and begun.issued_at + window < self._time:
            return Verdict.EXPIRED
        return Verdict.GRANTED if owner is None else Verdict.TAKEN

    def _abandon(self, abandoned: Abandoned) -> None:
        self._void_claims[abandoned.claim_id] = abandoned.keep_until
        owner = self._keys.get(abandoned.key)
        if owner is None or owner.claim_id != abandoned.claim_id:
            return
        if owner.phase is Phase.BEGUN:
            del self._keys[abandoned.key]
            self._unsettled.discard(abandoned.key)

    def _finish(self, finished: Finished) -> None:
        state = self._keys.get(finished.key)
        if state is None or state.claim_id != finished.claim_id:
            return
        if finished.outcome is not None and state.outcome is None:
            state.phase = Phase.FINISHED
            state.outcome = finished.outcome
            self._unsettled.discard(finished.key)
        elif state.phase is Phase.BEGUN:
            state.phase = Phase.UNKNOWN

    def _expire(self) -> None:
        for key in list(islice(self._keys, MAX_EXPIRED_PER_BATCH)):
            if self._keys[key].keep_until >= self._time:
                break
            del self._keys[key]
            self._unsettled.discard(key)
        for claim_id in list(islice(self._void_claims, MAX_EXPIRED_PER_BATCH)):
            if self._void_claims[claim_id] >= self._time:
                break
            del self._void_claims[claim_id]
