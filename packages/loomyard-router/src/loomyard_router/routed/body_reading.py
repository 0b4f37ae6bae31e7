"""Read the body of a request into memory that was lent for it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode

if TYPE_CHECKING:
    from loomyard_router.routed.body_budget import BodyLease

READ_BYTES = 65536


def read_body(environ: dict[str, Any], most: int, lease: BodyLease) -> Result[bytes, Fault]:
    """Read a body of at most some bytes, holding a lease on them before they are read.

    Errors: ``BODY_TOO_LARGE``, ``BODIES_HELD``, ``MALFORMED_REQUEST``; the lease is the caller's to
    end.
    """
    too_large = Fault(code=ResultCode.BODY_TOO_LARGE, detail=f"the body is over {most} bytes")
    length = environ.get("CONTENT_LENGTH")
    if length and int(length) > most:
        return Err(too_large)
    lent = lease.grow_to(int(length or 0))
    if lent.is_err():
        return Err(lent.unwrap_err())
    blocks: list[bytes] = []
    size = 0
    try:
        while block := environ["wsgi.input"].read(READ_BYTES):
            blocks.append(block)
            size += len(block)
            if size > most:
                return Err(too_large)
            lent = lease.grow_to(size)
            if lent.is_err():
                return Err(lent.unwrap_err())
    except (OSError, ValueError) as error:
        detail = f"the body did not come whole: {error}"
        return Err(Fault(code=ResultCode.MALFORMED_REQUEST, detail=detail))
    if length and size < int(length):
        return Err(Fault(code=ResultCode.MALFORMED_REQUEST, detail="the body did not come whole"))
    return Ok(b"".join(blocks))
