"""Configuration objects, log, errors, events and protocols shared by all loomyard programs."""

from __future__ import annotations

__version__ = "0.1.0"
