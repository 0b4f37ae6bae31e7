"""What was decided about a change, and why."""

from __future__ import annotations

from attrs import frozen

from loomyard.configuration.state import Verdict


@frozen
class Decision:
    """A verdict; ``detail`` says why a change was not accepted."""

    verdict: Verdict
    detail: str = ""
