"""The configuration as a function of the log."""

from __future__ import annotations

from loomyard.configuration.change import Change, Deletion, Put
from loomyard.configuration.fold import fold
from loomyard.configuration.state import ConfigState, Verdict, VersionedObject

__all__ = ["Change", "ConfigState", "Deletion", "Put", "Verdict", "VersionedObject", "fold"]
