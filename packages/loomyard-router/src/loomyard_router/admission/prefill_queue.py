"""Prompts that were sent to a target and have no first token yet."""

from __future__ import annotations

import math

from attrs import define, field, frozen

from loomyard_router.admission.first_token_model import FirstTokenModel
from loomyard_router.admission.permit_id import PermitId


@frozen
class _Prefill:
    """A prompt being read: its uncached tokens, those ahead of it, and when it was sent."""

    tokens: float
    tokens_ahead: float
    sent_at: float


@define(eq=False)
class PrefillQueue:
    """Predict the time to first token of a prompt that is sent to a target now.

    Targets read prompts in the order in which they are sent. If the oldest one is overdue, the
    target is slow at the moment, whatever its earlier answers suggest, and the time overdue is
    added. A prompt is passed, so that it no longer delays others, once a later one has its first
    token, or once it is overdue beyond the limit for outliers: its answer is lost or on its way.
    """

    model: FirstTokenModel = field(factory=FirstTokenModel)
    _pending: dict[PermitId, _Prefill] = field(factory=dict)
    _passed: dict[PermitId, _Prefill] = field(factory=dict)
    _tokens: float = 0.0
    _last_first_token_at: float = -math.inf

    def has_pending(self, now: float) -> bool:
        """Tell whether a prompt that is sent now would wait for others."""
        self._pass_overdue(now)
        return bool(self._pending)

    def pending_tokens(self, now: float) -> float:
        """Return the tokens still to be read."""
        self._pass_overdue(now)
        if not self._pending:
            return 0.0
        oldest = next(iter(self._pending.values()))
        elapsed = now - max(oldest.sent_at, self._last_first_token_at)
        read = min(oldest.tokens, elapsed * self.model.estimate(now).tokens_per_second)
        return max(0.0, self._tokens - read)

    def time_to_first_token(self, tokens: float, now: float) -> float:
        """Return the predicted seconds to the first token of a prompt with uncached ``tokens``."""
        seconds = self.model.estimate(now).seconds(self.pending_tokens(now) + tokens)
        return seconds + self._overdue(now)

    def prefill_seconds(self, tokens: float, now: float) -> float:
        """Return the seconds to read the pending prompts and ``tokens`` more."""
        return (self.pending_tokens(now) + tokens) / self.model.estimate(now).tokens_per_second

    def begin(self, permit: PermitId, tokens: float, now: float) -> None:
        """Add a prompt that is sent now; ``tokens`` are its uncached ones."""
        self._pending[permit] = _Prefill(tokens, self.pending_tokens(now), now)
        self._tokens += tokens

    def record_first_token(self, permit: PermitId, now: float) -> bool:
        """Record the first token of a prompt; false where the prompt is not known (any more)."""
        prefill = self._passed.pop(permit, None)
        if prefill is None and permit in self._pending:
            while prefill is None:
                oldest = next(iter(self._pending))
                removed = self._remove(oldest)
                if oldest == permit:
                    prefill = removed
                elif removed is not None:
                    self._passed[oldest] = removed
        if prefill is None:
            return False
        self._last_first_token_at = now
        self.model.record(prefill.tokens_ahead + prefill.tokens, now - prefill.sent_at, now)
        return True

    def drop(self, permit: PermitId) -> None:
        """Remove the prompt of a request that ended, with or without a first token."""
        self._passed.pop(permit, None)
        self._remove(permit)

    def postpone(self, seconds: float, now: float) -> None:
        """Leave out the duration of a process pause, in which no answers could be recorded."""
        for prefills in (self._pending, self._passed):
            for permit, one in prefills.items():
                sent_at = max(one.sent_at, min(now, one.sent_at + seconds))
                prefills[permit] = _Prefill(one.tokens, one.tokens_ahead, sent_at)

    def _remove(self, permit: PermitId) -> _Prefill | None:
        prefill = self._pending.pop(permit, None)
        if prefill is not None:
            self._tokens = self._tokens - prefill.tokens if self._pending else 0.0
        return prefill

    def _pass_overdue(self, now: float) -> None:
        """Pass prompts that are overdue beyond the limit for outliers."""
        while self._pending:
            permit, oldest = next(iter(self._pending.items()))
            limit = self.model.max_plausible(oldest.tokens_ahead + oldest.tokens, now)
            if now - oldest.sent_at <= limit:
                return
            self._remove(permit)
            self._passed[permit] = oldest

    def _overdue(self, now: float) -> float:
        """Return by how many seconds the oldest prompt exceeds its prediction."""
        if not self._pending:
            return 0.0
        oldest = next(iter(self._pending.values()))
        due = oldest.sent_at + self.model.estimate(now).seconds(oldest.tokens_ahead + oldest.tokens)
        return max(0.0, now - due)
