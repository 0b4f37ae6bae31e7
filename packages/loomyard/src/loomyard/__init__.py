"""Objects, selectors, configuration and messages shared by the loomyard programs."""

from __future__ import annotations

__version__ = "0.1.0"
