"""The record by which a router takes or renews the lease on orders."""

from __future__ import annotations

from attrs import frozen

ORDERS_STREAM = "loomyard.orders"


@frozen(kw_only=True)
class OrderLease:
    """A claim of the lease, written with knowledge of all records up to ``after``."""

    holder: str
    incarnation: int
    after: int


def is_accepted(offset: int, record: OrderLease) -> bool:
    """Tell whether the record at a log offset counts: its writer knew all before it.

    A pure function of the record and its place, so that every reader decides the same, also one
    that reads a trimmed stream. The holder is the writer of the latest record that counts, and
    its offset is the fencing number.
    """
    return record.after == offset - 1
