"""A route: which client accounts reach which targets of a service."""

from __future__ import annotations

from attrs import Attribute, field, frozen

from loomyard.objects.metadata import Metadata
from loomyard.selectors import Selector, parse_selector


def _check_selector(_: object, __: Attribute, value: str) -> None:
    parsed = parse_selector(value)
    if parsed.is_err():
        raise ValueError(parsed.unwrap_err())


@frozen(kw_only=True)
class Route:
    """Let the selected client accounts use the selected targets of a service.

    Of the routes that select an account the one with the highest ``priority`` counts, then the
    first by name.
    """

    metadata: Metadata
    service: str
    accounts: str = field(default="", validator=_check_selector)
    targets: str = field(default="", validator=_check_selector)
    priority: int = 0

    @property
    def account_selector(self) -> Selector:
        return parse_selector(self.accounts).unwrap()

    @property
    def target_selector(self) -> Selector:
        return parse_selector(self.targets).unwrap()
