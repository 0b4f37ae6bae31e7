"""The decision about a change: verdict and reason."""

from __future__ import annotations

from attrs import frozen

from loomyard.configuration.state import Verdict


@frozen
class Decision:
    """A verdict and, if the change was not accepted, the reason in ``detail``."""

    verdict: Verdict
    detail: str = ""
