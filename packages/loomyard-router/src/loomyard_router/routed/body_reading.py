"""Reading of request bodies within the memory budget."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode

if TYPE_CHECKING:
    from loomyard_router.routed.body_budget import BodyReservation

READ_BYTES = 65536


def read_body(
    environ: dict[str, Any], max_bytes: int, reservation: BodyReservation
) -> Result[bytes, Fault]:
    """Read a body of at most ``max_bytes``, raising its reservation by the stated or read length.

    Errors: ``BODY_TOO_LARGE``, ``BODIES_HELD``, ``MALFORMED_REQUEST``. The reservation stays held
    in any case; the calling function releases it.
    """
    too_large = Fault(code=ResultCode.BODY_TOO_LARGE, detail=f"the body is over {max_bytes} bytes")
    length = environ.get("CONTENT_LENGTH")
    if length and int(length) > max_bytes:
        return Err(too_large)
    reserved = reservation.grow_to(int(length or 0))
    if reserved.is_err():
        return Err(reserved.unwrap_err())
    blocks: list[bytes] = []
    size = 0
    try:
        while block := environ["wsgi.input"].read(READ_BYTES):
            blocks.append(block)
            size += len(block)
            if size > max_bytes:
                return Err(too_large)
            reserved = reservation.grow_to(size)
            if reserved.is_err():
                return Err(reserved.unwrap_err())
    except (OSError, ValueError) as error:
        detail = f"the request body is incomplete: {error}"
        return Err(Fault(code=ResultCode.MALFORMED_REQUEST, detail=detail))
    if length and size < int(length):
        return Err(
            Fault(code=ResultCode.MALFORMED_REQUEST, detail="the request body is incomplete")
        )
    return Ok(b"".join(blocks))
