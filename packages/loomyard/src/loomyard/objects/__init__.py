"""The configuration objects that operators publish."""

from __future__ import annotations

from loomyard.objects.client_account import ClientAccount
from loomyard.objects.kinds import KINDS, ConfigObject, ObjectRef, ref_of
from loomyard.objects.metadata import Metadata
from loomyard.objects.operation import Operation
from loomyard.objects.route import Route
from loomyard.objects.service import Service, ServiceType
from loomyard.objects.target import Target, TargetState

__all__ = [
    "KINDS",
    "ClientAccount",
    "ConfigObject",
    "Metadata",
    "ObjectRef",
    "Operation",
    "Route",
    "Service",
    "ServiceType",
    "Target",
    "TargetState",
    "ref_of",
]
