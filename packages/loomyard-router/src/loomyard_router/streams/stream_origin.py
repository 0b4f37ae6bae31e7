"""The service and version that began a stream."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class StreamOrigin:
    """The service and software version of the target that sent the first event of a stream.

    What two versions write does not fit together, so a stream may go on only at its origin.
    """

    service: str
    software_version: str
