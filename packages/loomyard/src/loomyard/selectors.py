"""Label selectors: comma-separated ``=``, ``!=``, ``in``, ``notin``, ``KEY`` and ``!KEY`` terms."""

from __future__ import annotations

import re
from enum import Enum
from typing import TYPE_CHECKING

from attrs import frozen
from result import Err, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_SELECTOR_LENGTH = 4096

_NAME = r"[A-Za-z0-9](?:[A-Za-z0-9._/-]*[A-Za-z0-9])?"
_SET_TERM = re.compile(rf"\s*({_NAME})\s+(in|notin)\s+\(([^()]*)\)\s*\Z")
_VALUE_TERM = re.compile(rf"\s*({_NAME})\s*(==|!=|=)\s*({_NAME})?\s*\Z")
_EXISTS_TERM = re.compile(rf"\s*(!?)\s*({_NAME})\s*\Z")
_VALUE = re.compile(rf"{_NAME}\Z")
_SPLIT = re.compile(r",(?![^()]*\))")


class Operator(Enum):
    """The comparison that a requirement makes."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    NOT_EXISTS = "!"


@frozen
class Requirement:
    """A condition on one label; for ``=`` and ``!=`` the operator is ``IN`` or ``NOT_IN``."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the labels meet the requirement."""
        value = labels.get(self.key)
        match self.operator:
            case Operator.IN:
                return value in self.values
            case Operator.NOT_IN:
                return value not in self.values
            case Operator.EXISTS:
                return value is not None
            case Operator.NOT_EXISTS:
                return value is None


@frozen
class Selector:
    """Requirements that must all be met; without any, everything is selected."""

    text: str
    requirements: tuple[Requirement, ...]

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the labels meet every requirement."""
        return all(requirement.matches(labels) for requirement in self.requirements)


def parse_selector(text: str) -> Result[Selector, str]:
    """Parse a selector; the error text names the first term that is not valid."""
    if len(text) > MAX_SELECTOR_LENGTH:
        return Err(f"longer than {MAX_SELECTOR_LENGTH} characters")
    if not text.strip():
        return Ok(Selector(text, ()))
    requirements: list[Requirement] = []
    for term in _SPLIT.split(text):
        requirement = _parse_term(term)
        if requirement is None:
            return Err(f"cannot parse the term {term.strip()!r}")
        requirements.append(requirement)
    return Ok(Selector(text, tuple(requirements)))


def _parse_term(term: str) -> Requirement | None:
    if match := _SET_TERM.match(term):
        values = [value.strip() for value in match[3].split(",")]
        if not all(_VALUE.match(value) for value in values):
            return None
        return Requirement(match[1], Operator(match[2]), frozenset(values))
    if match := _VALUE_TERM.match(term):
        operator = Operator.NOT_IN if match[2] == "!=" else Operator.IN
        return Requirement(match[1], operator, frozenset([match[3] or ""]))
    if match := _EXISTS_TERM.match(term):
        operator = Operator.NOT_EXISTS if match[1] else Operator.EXISTS
        return Requirement(match[2], operator)
    return None
