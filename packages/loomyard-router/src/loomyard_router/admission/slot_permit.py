"""The right to send one request to one target."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.announced.announced_target import AnnouncedTarget


class SlotPermit:
    """A place at a target until it is released, which may be done more than once.

    ``taken`` is how many were in use with it, -1 where nobody counts them; ``choice`` is the rank
    of the target for the prompt, -1 where there is no rank; ``expected`` is in how many seconds its
    keeper expects the first event, 0 where nobody predicts it.
    """

    def __init__(
        self,
        target: AnnouncedTarget,
        released: Callable[[], None],
        *,
        answered: Callable[[], None] | None = None,
        unused: Callable[[], None] | None = None,
        slots_in_use: int = -1,
        target_rank: int = -1,
        expected_ttft: float = 0.0,
    ) -> None:
        self.target = target
        self.taken = slots_in_use
        self.choice = target_rank
        self.expected = expected_ttft
        self._released: Callable[[], None] | None = released
        self._answered = answered
        self._unused = unused

    def record_answer_start(self) -> None:
        """Take in that the answer began, so the prompt was read."""
        if self._answered is not None:
            self._answered()

    def release(self) -> None:
        """Give the place back."""
        released, self._released = self._released, None
        if released is not None:
            released()

    def return_unused(self) -> None:
        """Give the place back; nothing ran there, so its account got nothing."""
        self.release()
        unused, self._unused = self._unused, None
        if unused is not None:
            unused()
