"""Permit to run one request at one target."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.announced.announced_target import AnnouncedTarget


class SlotPermit:
    """A slot of a target, held until it is released; releasing it again has no effect.

    ``taken`` is the number of slots in use including this one, -1 where they are not counted;
    ``choice`` is the rank of the target for the prompt, -1 without a ranking; ``expected`` is the
    time to first token predicted by the slot owner, in seconds, 0 without a prediction.
    """

    def __init__(
        self,
        target: AnnouncedTarget,
        on_release: Callable[[], None],
        *,
        on_answer: Callable[[], None] | None = None,
        on_unused: Callable[[], None] | None = None,
        slots_in_use: int = -1,
        target_rank: int = -1,
        expected_ttft: float = 0.0,
    ) -> None:
        self.target = target
        self.slots_in_use = slots_in_use
        self.target_rank = target_rank
        self.expected_ttft = expected_ttft
        self._on_release: Callable[[], None] | None = on_release
        self._on_answer = on_answer
        self._on_unused = on_unused

    def record_answer_start(self) -> None:
        """Record that the answer has begun, so the prompt has been read."""
        if self._on_answer is not None:
            self._on_answer()

    def release(self) -> None:
        """Return the slot."""
        on_release, self._on_release = self._on_release, None
        if on_release is not None:
            on_release()

    def return_unused(self) -> None:
        """Return the slot where nothing ran, and take its cost back from the account's usage."""
        self.release()
        on_unused, self._on_unused = self._on_unused, None
        if on_unused is not None:
            on_unused()
