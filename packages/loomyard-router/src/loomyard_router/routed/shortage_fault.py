"""The fault of a request for which this router lacks memory or descriptors."""

from __future__ import annotations

from loomyard.errors import Executed, Fault, ResultCode

RETRY_AFTER = 0.6
NEW_REQUEST = Fault(
    code=ResultCode.ROUTER_SHORT,
    detail="this router is short of memory or descriptors",
    retry_after=RETRY_AFTER,
)


def make_shortage_fault(error: BaseException, *, sent: bool) -> Fault:
    """Return the fault of a request that may have run once any of it was ``sent``."""
    return Fault(
        code=ResultCode.ROUTER_SHORT,
        detail=f"this router is short: {error!r}",
        executed=Executed.UNKNOWN if sent else Executed.NO,
        retry_after=RETRY_AFTER,
    )
