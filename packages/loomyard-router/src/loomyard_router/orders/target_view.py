"""State of a target for the planning of orders."""

from __future__ import annotations

from attrs import frozen

from loomyard.external.engine import LoadReport
from loomyard.objects import Target


@frozen(kw_only=True)
class TargetView:
    """A target, its latest load report, and whether it accepts new work."""

    target: Target
    report: LoadReport
    usable: bool

    @property
    def idle(self) -> bool:
        return self.report.running == 0 and self.report.waiting == 0

    @property
    def loaded(self) -> set[str]:
        """Return the services loaded now, of those that the target may load."""
        return {*self.target.services, *self.target.loadable}.intersection(self.report.models)
