"""Memory and CPU time of a configuration against its number of client accounts."""

from __future__ import annotations

from attrs import evolve

from loomyard.codec import encode
from loomyard.configuration import Change, ConfigState, Put, fold
from loomyard.objects import ClientAccount, Metadata, ref_of
from loomyard.routing import Routing
from loomyard_standins.benches.slopes.sample import Sample
from loomyard_standins.benches.slopes.usage import cpu_seconds, resident_bytes

ACCOUNTS_PER_CHANGE = 500
CHANGES_TIMED = 20


class ConfigurationProbe:
    """Memory of a configuration, and CPU time of one change to it."""

    sizes = (2_000, 8_000, 16_000, 31_000)

    def measure(self, size: int) -> Sample:
        """Build a configuration of ``size`` accounts and time changes of one account."""
        before = resident_bytes()
        state = ConfigState()
        offset = 0
        for start in range(0, size, ACCOUNTS_PER_CHANGE):
            count = min(ACCOUNTS_PER_CHANGE, size - start)
            puts = [Put(object=_account(start + number)) for number in range(count)]
            state, _ = fold(state, offset, Change(change_id=f"c{offset}", puts=puts))
            offset += 1
        routing = Routing(state)
        memory = resident_bytes() - before
        started = cpu_seconds()
        for number in range(CHANGES_TIMED):
            account = evolve(_account(number), weight=2.0)
            change = Change(change_id=f"t{number}", puts=[Put(object=account, based_on=0)])
            state, _ = fold(state, offset + number, change)
            routing = Routing(state, routing, [ref_of(account)])
        cpu = (cpu_seconds() - started) / CHANGES_TIMED
        assert len(routing.accounts) == size
        record = encode(Change(change_id="r", puts=[Put(object=_account(0))]))
        return Sample(
            size=size,
            quantities={
                "rss_bytes": memory,
                "cpu_seconds_per_change": cpu,
                "record_bytes": len(record),
            },
        )


def _account(number: int) -> ClientAccount:
    return ClientAccount(
        metadata=Metadata(name=f"account-{number:05}", labels={"tier": "standard"}),
        key_digests=[f"{number:064x}"],
    )
