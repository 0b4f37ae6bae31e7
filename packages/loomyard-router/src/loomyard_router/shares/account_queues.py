"""Request queues of one service, one for each client account."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from loomyard_router.shares.waiting import WaitingRequest


class AccountQueues:
    """First in, first out within an account; there is no order between accounts."""

    def __init__(self) -> None:
        self._queues: OrderedDict[str, deque[WaitingRequest]] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def accounts(self) -> Iterator[str]:
        """Return the names of the accounts with waiting requests."""
        return iter(self._queues)

    def length(self, account: str) -> int:
        """Return the number of waiting requests of an account."""
        return len(self._queues.get(account, ()))

    def head(self, account: str) -> WaitingRequest:
        """Return the oldest request of an account without removing it.

        Error: ``KeyError`` if the account has none waiting.
        """
        return self._queues[account][0]

    def push(self, waiting: WaitingRequest) -> None:
        """Append a request to the queue of its account."""
        self._queues.setdefault(waiting.account.metadata.name, deque()).append(waiting)
        self._size += 1

    def pop(self, account: str) -> WaitingRequest:
        """Remove and return the oldest request of an account."""
        waiting = self._queues[account].popleft()
        self._size -= 1
        if not self._queues[account]:
            del self._queues[account]
        return waiting

    def remove(self, waiting: WaitingRequest) -> bool:
        """Remove a request; return false if it is not queued."""
        account = waiting.account.metadata.name
        try:
            self._queues[account].remove(waiting)
        except (KeyError, ValueError):
            return False
        self._size -= 1
        if not self._queues[account]:
            del self._queues[account]
        return True
