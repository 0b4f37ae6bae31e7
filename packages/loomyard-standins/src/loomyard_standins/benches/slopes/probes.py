"""All probes by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_standins.benches.slopes.claims_probe import ClaimsProbe
from loomyard_standins.benches.slopes.configuration_probe import ConfigurationProbe
from loomyard_standins.benches.slopes.membership_probe import MembershipProbe
from loomyard_standins.benches.slopes.shares_probe import SharesProbe
from loomyard_standins.benches.slopes.targets_probe import TargetsProbe

if TYPE_CHECKING:
    from loomyard_standins.benches.slopes.probe import Probe

PROBES: dict[str, Probe] = {
    "claims_keys": ClaimsProbe(),
    "shares_routers": SharesProbe(),
    "configuration_accounts": ConfigurationProbe(),
    "targets_polled": TargetsProbe(),
    "membership_routers": MembershipProbe(),
}
