"""The route object: which client accounts may use which targets of a service."""

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
    """A permission for the selected client accounts to use the selected targets of a service.

    ``accounts`` and ``targets`` are label selectors. Of several routes that select an account, the
    one with the highest ``priority`` applies, then the first by name.
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
