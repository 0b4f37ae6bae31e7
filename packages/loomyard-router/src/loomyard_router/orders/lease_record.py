"""Log record by which a router acquires or renews the order lease."""

from __future__ import annotations

from attrs import frozen

ORDERS_STREAM = "loomyard.orders"


@frozen(kw_only=True)
class OrderLease:
    """A claim to the lease by a router that had read all log records up to the offset ``after``."""

    holder: str
    incarnation: int
    after: int


def is_accepted(offset: int, record: OrderLease) -> bool:
    """Return whether the claim at a log offset is accepted: its writer had read all before it.

    This depends on the record and its offset alone, so that all readers agree, even if the stream
    was trimmed. The holder is the writer of the latest accepted claim, whose offset is the
    fencing number.
    """
    return record.after == offset - 1
